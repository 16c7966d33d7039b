#ifndef VANILLAPOST_STANDINS_TARGET_TARGET_SERVICE_HPP
#define VANILLAPOST_STANDINS_TARGET_TARGET_SERVICE_HPP

#include "../common/exchange_store.hpp"
#include "../common/file_content.hpp"
#include "../common/task_queue.hpp"
#include "byte_range.hpp"
#include "target_faults.hpp"
#include "target_settings.hpp"
#include "target_work.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace vanillapost::standin {

/// One target: listens at its address, runs requests, takes faults.
class target_service
{
public:
    target_service(io::event_loop& loop, const target_settings& settings);

    const io::address& address() const
    {
        return address_;
    }

    const target_settings& settings() const
    {
        return settings_;
    }

private:
    using exchange_ptr = exchange_store::exchange_ptr;
    using work_id = std::uint64_t;

    /// A request that holds a slot.
    struct running
    {
        task_queue::task_id next{}; ///< its next step
        task_queue::task_id end{};  ///< when its deadline passes
        std::string file;           ///< name, of a download
        byte_range left;            ///< of a download
        bool streams = false;
        double factor = 1.0;
    };

    void handle(exchange_ptr exchange);
    void control(io::server_exchange& exchange);
    void apply_fault(const target_fault& fault);
    void clear_faults();

    void serve(exchange_ptr exchange);
    void serve_report(io::server_exchange& exchange);
    bool refuse(io::server_exchange& exchange);
    void begin(exchange_ptr exchange);
    duration draw_service_time();
    void schedule(work_id id, duration delay,
                  void (target_service::*step)(work_id));
    void finish(work_id id);
    void begin_file(work_id id);
    void write_file(work_id id);
    void pace_file(work_id id);
    void expire(work_id id);
    void cancel(work_id id);
    void forget(work_id id);

    void answer(work_id id, int status, const std::string& body);
    void send(work_id id, int status, const std::string& body);
    bool takes_truncation();
    io::header_list answer_headers(const io::server_exchange& exchange);
    void not_run(io::server_exchange& exchange, std::string_view why);
    void take_load_snapshot();
    bool chance(double share);

    io::event_loop& loop_;
    target_settings settings_;
    random_engine random_;
    task_queue tasks_;
    exchange_store waiting_;
    target_work work_;
    std::map<work_id, running> running_;
    std::set<std::string> connections_; ///< seen so far

    double slow_factor_ = 1.0;
    double fail_fast_share_ = 0.0;
    time_point frozen_until_{};
    bool stale_load_ = false;
    int truncate_ = 0;
    late_fault late_{duration(0), 0.0};
    std::uint64_t drain_number_ = 0;
    bool announces_drain_ = false;

    nlohmann::json reported_;   ///< the load as callers see it
    std::string reported_load_; ///< the same as a header, while it is stale
    nlohmann::json measured_;
    io::timer load_timer_;
    io::http_server server_;
    io::address address_;
};

} // namespace vanillapost::standin

#endif
