#include "platform_service.hpp"

#include "../common/json_http.hpp"
#include "platform_messages.hpp"

#include <random>
#include <vanillapost/records.hpp>

namespace vanillapost::standin {

namespace {

constexpr std::string_view row_path = "/v1/table/row";
constexpr std::string_view changes_path = "/v1/table/changes";
constexpr std::string_view transact_path = "/v1/table/transact";
constexpr std::string_view objects_prefix = "/v1/objects/";
constexpr std::string_view control_prefix = "/control/";

std::string problem(std::string_view what)
{
    return nlohmann::json{{"error", what}}.dump();
}

call_kind kind_of(const io::server_exchange& exchange)
{
    if (exchange.path() == transact_path || exchange.method() == "PUT")
        return call_kind::write;
    return call_kind::read;
}

struct outcome_body
{
    std::pair<int, std::string> operator()(const transaction_done& done) const
    {
        return {200, nlohmann::json{{"revision", done.at}}.dump()};
    }

    std::pair<int, std::string>
    operator()(const transaction_conflict& conflict) const
    {
        auto rows = nlohmann::json::array();
        for (const auto& row : conflict.rows)
            rows.push_back(to_json(row));
        return {409, nlohmann::json{{"conflicts", rows}}.dump()};
    }
};

} // namespace

platform_service::platform_service(io::event_loop& loop,
                                   const platform_options& options)
    : loop_(loop), options_(options), tasks_(loop), waiting_(loop),
      reads_(options.reads_per_second), writes_(options.writes_per_second),
      random_(options.seed), started_(loop.now())
{
}

void platform_service::put_record(const std::string& key,
                                  const std::string& text)
{
    const auto* row = table_.find(key);
    const revision expected = row ? row->at : 0;
    const table_operation put{key, expected, table_operation::action::put,
                              text};
    const auto write_id = "start-" + std::to_string(table_.latest() + 1);
    table_.transact({write_id, {put}}, "start", loop_.unix_ms());
}

void platform_service::handle(exchange_store::exchange_ptr exchange)
{
    if (exchange->path().starts_with(control_prefix)) {
        control(*exchange);
        return;
    }
    const auto client = header_or(*exchange, "Client", "");
    const auto kind = kind_of(*exchange);
    const auto second =
        std::chrono::floor<std::chrono::seconds>(loop_.now() - started_);
    counters_.count(kind, client, static_cast<std::size_t>(second.count()));
    if (faults_.cut.contains(client) || (faults_.down && faults_.silent)) {
        waiting_.add(std::move(exchange));
        return;
    }
    const auto wait = faults_.down ? std::optional<duration>() : admit(kind);
    if (!wait) {
        counters_.count_refused();
        exchange->reply(503, {}, problem("unavailable"));
        return;
    }
    auto delay = options_.answer_delay + faults_.delay;
    if (faults_.jitter > duration(0)) {
        std::uniform_int_distribution<duration::rep> extra(
            0, faults_.jitter.count());
        delay += duration(extra(random_));
    }
    std::uniform_int_distribution<duration::rep> split(0, delay.count());
    const duration before(split(random_));
    const auto id = waiting_.add(std::move(exchange));
    tasks_.after(*wait + before, [this, id, kind, rest = delay - before] {
        apply(id, kind, rest);
    });
}

std::optional<duration> platform_service::admit(call_kind kind)
{
    auto& limit = kind == call_kind::read ? reads_ : writes_;
    return limit.admit(loop_.now());
}

void platform_service::apply(std::uint64_t id, call_kind, duration rest)
{
    const auto* exchange = waiting_.find(id);
    if (!exchange)
        return;
    auto value = dispatch(*exchange);
    tasks_.after(rest, [this, id, value] { send(id, value); });
}

void platform_service::send(std::uint64_t id, const answer& value)
{
    if (value.lost) {
        counters_.count_lost_answer();
        waiting_.drop(id);
        return;
    }
    const io::header_list headers = {{"Content-Type", "application/json"}};
    if (auto exchange = waiting_.take(id))
        exchange->reply(value.status, headers, value.body);
}

platform_service::answer
platform_service::dispatch(const io::server_exchange& exchange)
{
    const auto path = exchange.path();
    const bool get = exchange.method() == "GET";
    try {
        if (path == row_path && get)
            return read_row(exchange);
        if (path == changes_path && get)
            return read_changes(exchange);
        if (path == transact_path && exchange.method() == "POST")
            return transact(exchange);
        if (path.starts_with(objects_prefix))
            return object(exchange);
    } catch (const error& failure) {
        return {400, problem(failure.what())};
    }
    return {404, problem("no such path")};
}

platform_service::answer
platform_service::read_row(const io::server_exchange& exchange) const
{
    const auto* row = table_.find(exchange.query_value("key"));
    if (!row)
        return {404, problem("no such row")};
    return {200, to_json(*row).dump()};
}

platform_service::answer
platform_service::read_changes(const io::server_exchange& exchange) const
{
    const auto since = parse_revision(exchange.query_value("since"));
    const auto changes = table_.changes(exchange.query_value("prefix"), since);
    auto rows = nlohmann::json::array();
    for (const auto& row : changes.rows)
        rows.push_back(to_json(row));
    const nlohmann::json body = {{"latest", changes.latest}, {"rows", rows}};
    return {200, body.dump()};
}

platform_service::answer
platform_service::transact(const io::server_exchange& exchange)
{
    const auto transaction = parse_transaction(exchange.body());
    const auto client = header_or(exchange, "Client", "");
    const auto outcome = table_.transact(transaction, client, loop_.unix_ms());
    auto [status, body] = std::visit(outcome_body{}, outcome);
    const bool took_effect = status == 200;
    return {status, std::move(body), took_effect && loses_answer(transaction)};
}

bool platform_service::loses_answer(const table_transaction& transaction)
{
    const auto matches = [this](const table_operation& operation) {
        return operation.key.starts_with(faults_.lose_prefix);
    };
    const auto& operations = transaction.operations;
    if (faults_.lose_count == 0 ||
        std::none_of(operations.begin(), operations.end(), matches))
        return false;
    if (!std::bernoulli_distribution(faults_.lose_answers)(random_))
        return false;
    if (faults_.lose_count > 0)
        --faults_.lose_count;
    return true;
}

platform_service::answer
platform_service::object(const io::server_exchange& exchange)
{
    const std::string name(exchange.path().substr(objects_prefix.size()));
    if (exchange.method() == "PUT") {
        objects_[name] = std::string(exchange.body());
        return {200, "{}"};
    }
    const auto found = objects_.find(name);
    if (found == objects_.end())
        return {404, problem("no such object")};
    return {200, found->second};
}

void platform_service::control(io::server_exchange& exchange)
{
    if (exchange.path() == "/control/truth") {
        reply_json(exchange, 200, truth(exchange));
        return;
    }
    if (exchange.path() == "/control/clear") {
        faults_ = {};
    } else if (exchange.path() == "/control/fault" ||
               exchange.path() == "/control/restore") {
        try {
            const auto command = parse_bounded_json(
                exchange.body(), max_record_bytes, "control", exchange.peer());
            if (exchange.path() == "/control/fault")
                add_fault(faults_, command);
            else
                table_.restore(parse_restore(command));
        } catch (const error& failure) {
            exchange.reply(400, {}, problem(failure.what()));
            return;
        }
    } else {
        exchange.reply(404, {}, problem("no such command"));
        return;
    }
    reply_json(exchange, 200, nlohmann::json::object());
}

nlohmann::json
platform_service::truth(const io::server_exchange& exchange) const
{
    auto result = counters_.to_json();
    result["latest"] = table_.latest();
    result["rows"] = table_.history(exchange.query_value("prefix"));
    return result;
}

} // namespace vanillapost::standin
