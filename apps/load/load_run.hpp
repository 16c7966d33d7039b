#ifndef VANILLAPOST_APPS_LOAD_LOAD_RUN_HPP
#define VANILLAPOST_APPS_LOAD_LOAD_RUN_HPP

#include "../../standins/common/task_queue.hpp"
#include "answer_checker.hpp"
#include "entry_directory.hpp"
#include "mix.hpp"
#include "statistics.hpp"

#include <list>
#include <memory>
#include <optional>
#include <random>

namespace vanillapost::load {

struct run_settings
{
    call_mix mix;
    std::vector<phase> phases;
    std::vector<io::address> entries;
    /// Targets of each service, to be called without entries.
    std::map<std::string, std::vector<io::address>> targets;
    bool direct = false;
    int retries = 0; ///< of refused calls, after the wait that is asked for
    bool repeat_bookings = false; ///< with the same key, where it may have run
    std::uint64_t seed = 1;
};

/// Open-loop load: calls start when they are due, however many are under way.
class load_run
{
public:
    /// \param done  called when the last call has ended
    load_run(io::event_loop& loop, run_settings settings,
             std::function<void()> done);

    void start();

    const run_statistics& statistics() const
    {
        return statistics_;
    }
    std::size_t in_flight() const
    {
        return calls_.size();
    }
    std::vector<double> phase_seconds() const;

private:
    struct caller
    {
        std::unique_ptr<entry_directory> directory;
        std::map<io::address, io::http_client> clients;
        std::string data_centre;
    };

    struct call
    {
        const service_calls* service = nullptr;
        caller* from = nullptr;
        std::string id;
        std::string key; ///< of a booking
        time_point due{};
        std::size_t phase = 0;
        std::vector<io::address> addresses;
        std::size_t next_address = 0;
        int tries = 0;
        int status = 0;
        bool not_run = false;
        std::optional<answer_checker> checker;
        std::unique_ptr<io::http_call> http;
    };
    using call_position = std::list<call>::iterator;

    void make_callers();
    void schedule_arrival();
    void arrive(time_point due, std::size_t phase);
    double total_rate(std::size_t phase) const;
    std::size_t draw_service();
    void find_addresses(call_position position);
    void send(call_position position);
    io::http_request make_request(const call& value, duration left) const;
    void reset_answer(call& value);
    io::call_handlers make_handlers(call_position position);
    void take_headers(call& value, int status,
                      std::span<const io::header_field> headers);
    void take_answer(call_position position);
    void take_failure(call_position position, const io::call_failure& failure);
    bool retry(call_position position, outcome result);
    void finish(call_position position, outcome result);
    void finish_if_done();

    io::event_loop& loop_;
    run_settings settings_;
    std::function<void()> done_;
    random_engine random_;
    standin::task_queue tasks_;
    std::vector<caller> callers_;
    std::vector<time_point> phase_ends_;
    std::list<call> calls_;
    run_statistics statistics_;
    time_point started_{};
    time_point next_arrival_{};
    std::size_t phase_ = 0;
    std::uint64_t arrivals_ = 0;
    bool arrivals_over_ = false;
};

} // namespace vanillapost::load

#endif
