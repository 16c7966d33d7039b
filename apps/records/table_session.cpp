#include "table_session.hpp"

#include <optional>
#include <utility>

namespace vanillapost::records_app {

namespace {

constexpr std::string_view client_name = "vanillapost-records";
constexpr std::string_view records_prefix = "records/";

} // namespace

table_session::table_session(const io::address& platform, duration timeout,
                             retry_limits limits, random_engine random)
    : client_(loop_, platform, std::string(client_name), timeout),
      peer_(to_string(platform)), limits_(limits), random_(random)
{
}

template <class T>
platform_result<T> table_session::wait_for(const start_call<T>& start)
{
    std::optional<platform_result<T>> answer;
    start([&](platform_result<T> result) {
        answer = std::move(result);
        loop_.stop();
    });
    if (!answer)
        loop_.run();
    return std::move(*answer);
}

template <class T>
T table_session::read_until_answered(const start_call<T>& start)
{
    for (int attempt = 0;; ++attempt) {
        auto answer = wait_for<T>(start);
        if (auto* value = std::get_if<T>(&answer))
            return std::move(*value);
        if (attempt + 1 >= limits_.attempts)
            throw read_unavailable("read table", peer_,
                                   std::get<platform_unavailable>(answer).what);
        sleep(retry_delay(limits_, attempt, random_));
    }
}

row_index table_session::read_records()
{
    const auto changes = read_until_answered<table_changes>([this](auto done) {
        client_.changes(records_prefix, 0, std::move(done));
    });
    return index_rows(changes.rows);
}

table_row table_session::read(const std::string& key)
{
    return read_until_answered<table_row>(
        [&](auto done) { client_.read(key, std::move(done)); });
}

write_outcome table_session::write(table_transaction transaction)
{
    settled_write write(std::move(transaction), limits_, random_);
    auto step = write.start();
    while (!std::holds_alternative<write_outcome>(step))
        step = follow(write, step);
    return std::get<write_outcome>(step);
}

write_step table_session::follow(settled_write& write, const write_step& step)
{
    if (std::holds_alternative<submit_write>(step))
        return submit(write);
    if (const auto* read = std::get_if<read_back>(&step)) {
        return write.on_row(wait_for<table_row>(
            [&](auto done) { client_.read(read->key, std::move(done)); }));
    }
    sleep(std::get<wait_before_retry>(step).delay);
    return write.on_waited();
}

write_step table_session::submit(settled_write& write)
{
    std::optional<transaction_result> answer;
    client_.transact(write.transaction(), [&](transaction_result result) {
        answer = std::move(result);
        loop_.stop();
    });
    if (!answer)
        loop_.run();
    return write.on_answer(*answer);
}

void table_session::sleep(duration delay)
{
    io::timer timer(loop_, [this] { loop_.stop(); });
    timer.start_once(delay);
    loop_.run();
}

} // namespace vanillapost::records_app
