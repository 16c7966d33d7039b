// Drives one hold_controller against a table in memory until it holds its
// target, and prints how many requests it may have in flight.
#include <iostream>
#include <map>
#include <vanillapost/holds.hpp>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

/// Always does what it is asked: no other writer exists here.
struct small_table
{
    std::map<std::string, table_row> rows;
    revision latest = 0;

    void answer(hold_controller& holds, const read_row_action& a,
                time_point now)
    {
        const auto found = rows.find(a.key);
        table_row none{a.key, 0, "", {}};
        holds.on_row(a.id, found == rows.end() ? none : found->second, now);
    }

    void answer(hold_controller& holds, const read_changes_action& a,
                time_point now)
    {
        table_changes changes{latest, {}};
        for (const auto& [key, row] : rows) {
            if (key.starts_with(a.prefix) && row.at > a.since) {
                changes.rows.push_back(row);
            }
        }
        holds.on_changes(a.id, changes, now);
    }

    void answer(hold_controller& holds, const transact_action& a,
                time_point now)
    {
        ++latest;
        for (const auto& step : a.transaction.operations) {
            rows[step.key] = {step.key, latest, a.transaction.write_id,
                              step.value};
        }
        holds.on_transact(a.id, transaction_done{latest}, now);
    }

    template <class Other>
    void answer(hold_controller&, const Other&, time_point)
    {
        // Messages to peers: there are none.
    }
};

} // namespace

int main()
{
    const entry_incarnation self{{"e1"}, "1"};
    const target_id name{"t1"};
    const std::vector<hold_target> targets{{name, {"lookup"}, {"a"}, 4}};
    const instance_list list{0s, {{self, {"a"}, "", "", false}}};

    hold_controller holds(self, {"a"}, hold_settings{}, 1);
    small_table table;
    time_point now{1s};
    holds.set_targets(targets, now);
    holds.on_instance_list(list, now, now);
    for (int i = 0; i < 40; ++i, now += 50ms) {
        holds.tick(now);
        for (const hold_action& action : holds.take_actions()) {
            std::visit([&](const auto& a) { table.answer(holds, a, now); },
                       action);
        }
    }
    const hold_share share = holds.share(name, 4, now);
    std::cout << "t1: " << share.usable << " of 4\n";
    return share.usable == 4 ? 0 : 1;
}
