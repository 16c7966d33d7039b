#include "state_controller.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration register_retry = 500ms;
/// Members come and go rarely, and heartbeats tell of them sooner.
constexpr duration member_batch = 1s;

} // namespace

state_controller::state_controller(io::event_loop& loop, io::row_store& store,
                                   const platform_language& language,
                                   knowledge& known, router_log& log,
                                   random_engine random)
    : loop_(loop), store_(store), language_(language), known_(known), log_(log),
      random_(random), removal_timer_(loop, [this] { apply_removals(); }),
      register_timer_(loop, [this] { register_self(); }),
      alive_(std::make_shared<bool>(true))
{
    const auto& rows = language_.rows;
    add_table(rows.operator_table, &state_controller::take_operator_row,
              &state_controller::finish_operator_rows);
    add_table(rows.target_table, &state_controller::take_target_row,
              &state_controller::finish_target_rows);
    add_table(rows.member_table, &state_controller::take_member_row,
              &state_controller::finish_member_rows);
}

state_controller::table_state& state_controller::add_table(
    const std::string& name,
    void (state_controller::*changed)(const io::store_row&),
    void (state_controller::*finished)())
{
    auto& table = tables_[name];
    io::table_follower_handlers handlers;
    handlers.on_read = [this, &table, changed,
                        finished](const std::vector<io::store_row>& rows) {
        std::map<std::string, io::store_row> gone = table.rows;
        for (const auto& row : rows) {
            gone.erase(row.key);
            if (store_row(table, row))
                (this->*changed)(row);
        }
        for (auto& [key, row] : gone) {
            if (row.removed)
                continue;
            row.removed = true;
            row.value.clear();
            table.rows[key] = row;
            (this->*changed)(row);
        }
        (this->*finished)();
    };
    handlers.on_changed = [this, &table, changed,
                           finished](const std::vector<io::store_row>& rows) {
        for (const auto& row : rows)
            if (store_row(table, row))
                (this->*changed)(row);
        (this->*finished)();
    };
    handlers.on_lost = [this, name](const io::store_failure& failure) {
        log_.state(io::log_level::warning, "store_lost",
                   {{"table", name}, {"reason", failure.what}});
    };
    handlers.on_back = [this, name] { on_back(name); };
    io::table_follower_settings settings;
    if (name == language_.rows.member_table)
        settings.batch_delay = member_batch;
    table.follower = std::make_unique<io::table_follower>(
        loop_, store_, name, settings, random_engine(random_()),
        std::move(handlers));
    return table;
}

void state_controller::start()
{
    for (auto& [name, table] : tables_)
        table.follower->start();
    register_self();
}

// A row never goes back, whichever way an older one arrives.
bool state_controller::store_row(table_state& table, const io::store_row& row)
{
    auto& stored = table.rows[row.key];
    if (stored.revision >= row.revision && stored.revision > 0)
        return false;
    stored = row;
    table.revision = std::max(table.revision, row.revision);
    return true;
}

void state_controller::take_operator_row(const io::store_row& row)
{
    if (row.key != language_.rows.configuration_key || row.removed)
        return;
    try {
        auto config = language_.rows.read_configuration(row.value);
        const auto version = config.version;
        if (known_.adopt(std::move(config), loop_.now()))
            log_.state(io::log_level::info, "configuration_adopted",
                       {{"version", std::to_string(version)},
                        {"revision", std::to_string(row.revision)}});
    } catch (const error& failure) {
        report("configuration_unreadable", row.key, failure);
    }
}

void state_controller::finish_operator_rows()
{
    std::set<data_centre_id> evacuated;
    for (const auto& [key, row] : tables_[language_.rows.operator_table].rows) {
        const auto data_centre = language_.rows.read_evacuation(key);
        if (data_centre && !row.removed)
            evacuated.insert(*data_centre);
    }
    if (evacuated == known_.targets.evacuated())
        return;
    std::string names;
    for (const auto& each : evacuated)
        names += (names.empty() ? "" : ",") + each.value;
    log_.state(io::log_level::info, "data_centres_evacuated",
               {{"data_centres", names}});
    known_.targets.set_evacuated(std::move(evacuated));
    known_.refresh_targets(loop_.now());
}

void state_controller::take_target_row(const io::store_row& row)
{
    const target_id id{row.key};
    const auto now = loop_.now();
    if (row.removed) {
        known_.targets.remove(id, now);
        return;
    }
    try {
        if (!known_.targets.put(language_.rows.read_target(row.key, row.value)))
            log_.state(io::log_level::info, "target_report_outdated",
                       {{"target", row.key},
                        {"revision", std::to_string(row.revision)}});
    } catch (const error& failure) {
        report("target_unreadable", row.key, failure);
        known_.targets.remove(id, now);
    }
}

void state_controller::finish_target_rows()
{
    apply_removals();
}

void state_controller::apply_removals()
{
    const auto now = loop_.now();
    known_.targets.advance(now);
    known_.refresh_targets(now);
    if (const auto next = known_.targets.next_removal())
        removal_timer_.start_once(std::max<duration>(*next - now, 1ms));
}

void state_controller::take_member_row(const io::store_row& row)
{
    if (row.removed) {
        known_.members.on_withdrawn({row.key});
        return;
    }
    try {
        const auto document = json::parse(row.value, nullptr, false);
        known_.members.on_known(parse_member(document), loop_.now());
    } catch (const error& failure) {
        report("member_unreadable", row.key, failure);
    }
}

void state_controller::finish_member_rows()
{
    known_.refresh_members(loop_.now());
}

void state_controller::register_self()
{
    if (leaving_)
        return;
    const auto& self = known_.members.self();
    store_.put(
        language_.rows.member_table, self.name.value, to_json(self).dump(),
        [this, alive = alive_](io::store_result result) {
            if (!*alive)
                return;
            const auto* failure = std::get_if<io::store_failure>(&result);
            if (!failure)
                return;
            log_.state(io::log_level::warning, "member_row_not_written",
                       {{"reason", failure->what}});
            register_timer_.start_once(register_retry);
        });
}

void state_controller::leave()
{
    leaving_ = true;
    store_.remove(
        language_.rows.member_table, known_.members.self().name.value,
        [this, alive = alive_](const io::store_result& result) {
            const auto* failure = std::get_if<io::store_failure>(&result);
            if (*alive && failure)
                log_.state(io::log_level::warning, "member_row_not_withdrawn",
                           {{"reason", failure->what}});
        });
}

bool state_controller::is_store_reachable() const
{
    return std::ranges::all_of(tables_, [](const auto& each) {
        return each.second.follower->is_reachable();
    });
}

std::uint64_t state_controller::revision() const
{
    std::uint64_t newest = 0;
    for (const auto& [name, table] : tables_)
        if (name != language_.rows.member_table)
            newest = std::max(newest, table.revision);
    return newest;
}

json state_controller::snapshot() const
{
    json tables = json::object();
    for (const auto& [name, table] : tables_) {
        json rows = json::array();
        for (const auto& [key, row] : table.rows)
            rows.push_back({{"key", key},
                            {"value", row.value},
                            {"revision", row.revision},
                            {"removed", row.removed}});
        tables[name] = std::move(rows);
    }
    return {{"tables", std::move(tables)}};
}

void state_controller::merge(const json& snapshot)
{
    using take_row = void (state_controller::*)(const io::store_row&);
    using finish = void (state_controller::*)();
    const auto& names = language_.rows;
    const std::array<std::tuple<std::string, take_row, finish>, 3> tables = {
        {{names.operator_table, &state_controller::take_operator_row,
          &state_controller::finish_operator_rows},
         {names.target_table, &state_controller::take_target_row,
          &state_controller::finish_target_rows},
         {names.member_table, &state_controller::take_member_row,
          &state_controller::finish_member_rows}}};
    try {
        for (const auto& [name, take, finished] : tables) {
            for (const auto& each : snapshot.at("tables").at(name)) {
                io::store_row row;
                row.key = each.at("key").get<std::string>();
                row.value = each.at("value").get<std::string>();
                row.revision = each.at("revision").get<std::uint64_t>();
                row.removed = each.at("removed").get<bool>();
                if (store_row(tables_[name], row))
                    (this->*take)(row);
            }
            (this->*finished)();
        }
    } catch (const json::exception& failure) {
        throw error("read snapshot", "", failure.what());
    }
}

void state_controller::on_back(const std::string& table)
{
    if (table == language_.rows.target_table)
        known_.targets.on_list_back(loop_.now());
    log_.state(io::log_level::info, "store_back", {{"table", table}});
}

void state_controller::report(const char* what, const std::string& key,
                              const error& failure)
{
    log_.state(io::log_level::warning, what,
               {{"key", key}, {"reason", failure.what()}});
}

} // namespace vanillapost::router
