#ifndef VANILLAPOST_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP
#define VANILLAPOST_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP

#include "../common/exchange_store.hpp"
#include "../common/task_queue.hpp"
#include "platform_counters.hpp"
#include "platform_faults.hpp"
#include "rate_limit.hpp"
#include "table_store.hpp"

#include <map>
#include <optional>
#include <string>

namespace vanillapost::standin {

struct platform_options
{
    int writes_per_second = 400;
    int reads_per_second = 2000;
    duration answer_delay = std::chrono::milliseconds(1);
    std::uint64_t seed = 1;
};

/// The stand-in's answers to calls and to commands.
class platform_service
{
public:
    platform_service(io::event_loop& loop, const platform_options& options);

    void handle(exchange_store::exchange_ptr exchange);

    /// Puts a record into the table as an operator would.
    void put_record(const std::string& key, const std::string& text);

private:
    /// What a call is answered with.
    struct answer
    {
        int status = 200;
        std::string body;
        bool lost = false;
    };

    void control(io::server_exchange& exchange);
    nlohmann::json truth(const io::server_exchange& exchange) const;
    std::optional<duration> admit(call_kind kind);
    void apply(std::uint64_t id, call_kind kind, duration rest);
    void send(std::uint64_t id, const answer& value);

    answer dispatch(const io::server_exchange& exchange);
    answer read_row(const io::server_exchange& exchange) const;
    answer read_changes(const io::server_exchange& exchange) const;
    answer transact(const io::server_exchange& exchange);
    answer object(const io::server_exchange& exchange);
    bool loses_answer(const table_transaction& transaction);

    io::event_loop& loop_;
    platform_options options_;
    task_queue tasks_;
    exchange_store waiting_;
    table_store table_;
    std::map<std::string, std::string> objects_;
    platform_faults faults_;
    platform_counters counters_;
    rate_limit reads_;
    rate_limit writes_;
    random_engine random_;
    time_point started_;
};

} // namespace vanillapost::standin

#endif
