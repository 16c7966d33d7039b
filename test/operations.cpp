#include "vanillapost/operations.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/records.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;

namespace {

enum class fault
{
    none,
    down,        ///< nothing takes effect
    lose_answer, ///< takes effect, no answer
    lose_call,   ///< does not take effect, no answer
    late_call,   ///< takes effect after the next call, no answer
};

/// A table that settles write ids as the platform does.
class fake_table
{
public:
    transaction_result transact(const table_transaction& wanted, fault what)
    {
        const auto late = std::exchange(late_, {});
        auto answer = answer_to(wanted, what);
        for (const auto& each : late)
            run(each);
        return answer;
    }

    table_row read(const std::string& key)
    {
        return rows_[key];
    }

    int effects(const std::string& write_id)
    {
        return effects_[write_id];
    }

    void write(const std::string& key, const std::string& write_id)
    {
        rows_[key] = {key, ++latest_, write_id, "other"};
    }

    /// Lets calls that are still under way arrive.
    void deliver_late_calls()
    {
        for (const auto& each : std::exchange(late_, {}))
            run(each);
    }

    void forget_write_ids()
    {
        done_.clear();
    }

private:
    transaction_result answer_to(const table_transaction& wanted, fault what)
    {
        if (what == fault::down)
            return platform_unavailable{false, "down"};
        if (what == fault::late_call)
            late_.push_back(wanted);
        if (what == fault::lose_call || what == fault::late_call)
            return platform_unavailable{true, "timeout"};
        auto answer = run(wanted);
        if (what == fault::lose_answer)
            return platform_unavailable{true, "reset"};
        return answer;
    }

    transaction_result run(const table_transaction& wanted)
    {
        if (const auto found = done_.find(wanted.write_id);
            found != done_.end())
            return transaction_done{found->second};
        transaction_conflict conflict;
        for (const auto& each : wanted.operations) {
            if (rows_[each.key].at != each.expected)
                conflict.rows.push_back(rows_[each.key]);
        }
        if (!conflict.rows.empty())
            return conflict;
        ++latest_;
        for (const auto& each : wanted.operations)
            rows_[each.key] = {each.key, latest_, wanted.write_id, each.value};
        ++effects_[wanted.write_id];
        done_[wanted.write_id] = latest_;
        return transaction_done{latest_};
    }

    std::map<std::string, table_row> rows_;
    std::map<std::string, revision> done_;
    std::map<std::string, int> effects_;
    std::vector<table_transaction> late_;
    revision latest_ = 0;
};

const table_transaction one_put{
    "ops/ada/1", {{"k", 0, table_operation::action::put, "mine"}}};

/// Runs a write against the table; `next` gives the fault of each call.
template <class Next, class Between>
write_outcome drive(settled_write& write, fake_table& table, Next next,
                    Between between)
{
    auto step = write.start();
    while (!std::holds_alternative<write_outcome>(step)) {
        between();
        const fault what = next();
        if (std::holds_alternative<submit_write>(step))
            step = write.on_answer(table.transact(write.transaction(), what));
        else if (std::holds_alternative<wait_before_retry>(step))
            step = write.on_waited();
        else if (what == fault::none)
            step = write.on_row(table.read(std::get<read_back>(step).key));
        else
            step = write.on_row(platform_unavailable{false, "down"});
    }
    return std::get<write_outcome>(step);
}

write_outcome drive_with(fake_table& table, std::vector<fault> faults,
                         fault rest = fault::none)
{
    settled_write write(one_put, {}, random_engine(1));
    std::size_t at = 0;
    return drive(
        write, table, [&] { return at < faults.size() ? faults[at++] : rest; },
        [] {});
}

} // namespace

TEST(settled_write, lost_answer_is_settled_and_written_once)
{
    fake_table table;
    const auto outcome = drive_with(table, {fault::lose_answer});
    EXPECT_EQ(std::get<write_applied>(outcome).at, 1u);
    EXPECT_EQ(table.effects(one_put.write_id), 1);
}

TEST(settled_write, own_row_in_a_conflict_is_no_lost_race)
{
    fake_table table;
    settled_write write(one_put, {}, random_engine(1));
    write.start();
    write.on_answer(table.transact(one_put, fault::lose_answer));
    table.forget_write_ids();
    write.on_waited();
    const auto step = write.on_answer(table.transact(one_put, fault::none));
    const auto* outcome = std::get_if<write_outcome>(&step);
    ASSERT_NE(outcome, nullptr);
    EXPECT_TRUE(std::holds_alternative<write_applied>(*outcome));
}

TEST(settled_write, lost_race_shows_the_winner)
{
    fake_table table;
    table.write("k", "ops/bea/7");
    const auto outcome = drive_with(table, {});
    const auto& lost = std::get<write_lost>(outcome);
    ASSERT_EQ(lost.rows.size(), 1u);
    EXPECT_EQ(write_author(lost.rows[0].write_id), "bea");
}

TEST(settled_write, outage_before_any_effect_is_no_unknown_outcome)
{
    fake_table table;
    const auto outcome = drive_with(table, {}, fault::down);
    EXPECT_TRUE(std::holds_alternative<write_not_made>(outcome));
}

TEST(settled_write, refusals_after_a_lost_answer_stay_unknown)
{
    fake_table table;
    const auto outcome = drive_with(table, {fault::lose_answer}, fault::down);
    EXPECT_TRUE(std::holds_alternative<write_unknown>(outcome));
}

RC_GTEST_PROP(settled_write, outcome_is_true_under_faults, ())
{
    fake_table table;
    settled_write write(one_put, {.attempts = 3}, random_engine(1));
    const auto outcome = drive(
        write, table,
        [] {
            return *rc::gen::element(fault::none, fault::down,
                                     fault::lose_answer, fault::lose_call,
                                     fault::late_call);
        },
        [&] {
            if (*rc::gen::inRange(0, 8) == 0)
                table.write("k", "ops/bea/" +
                                     std::to_string(*rc::gen::inRange(0, 9)));
        });
    table.deliver_late_calls();
    const int effects = table.effects(one_put.write_id);
    RC_ASSERT(effects <= 1);
    if (std::holds_alternative<write_applied>(outcome))
        RC_ASSERT(effects == 1);
    if (std::holds_alternative<write_lost>(outcome) ||
        std::holds_alternative<write_not_made>(outcome))
        RC_ASSERT(effects == 0);
}

TEST(write_author, id_carries_the_operator)
{
    random_engine random(1);
    const auto id = make_write_id("ada l/x", random);
    EXPECT_EQ(write_author(id), "ada_l_x");
    EXPECT_NE(id, make_write_id("ada l/x", random));
    EXPECT_EQ(write_author("entry-a/9"), "entry-a/9");
}

TEST(record_difference, schema_versions_compare_as_equal)
{
    const std::string first =
        R"({"schema":1,"kind":"data_centre","name":"a","enabled":false})";
    const std::string second =
        R"({"schema":2,"kind":"data_centre","name":"a","state":"out"})";
    EXPECT_TRUE(record_difference(first, second).empty());
    const std::string in =
        R"({"schema":2,"kind":"data_centre","name":"a","state":"in"})";
    const std::vector<field_difference> expected = {{"/state", "out", "in"}};
    EXPECT_EQ(record_difference(first, in), expected);
}

TEST(record_change, plan_names_revisions_and_skips_equal_records)
{
    const record kept = data_centre_record{.name = {"a"}, .limit = {}};
    const record changed = data_centre_record{.name = {"b"}, .limit = 4};
    const std::vector<table_row> rows = {
        {"records/data_centre/a", 3, "w", to_json(kept).dump()},
        {"records/data_centre/b", 5, "w",
         to_json(data_centre_record{.name = {"b"}, .limit = {}}).dump()},
        {"records/data_centre/c", 6, "w", to_json(kept).dump()},
        {"records/data_centre/d", 7, "w", std::nullopt}};
    const std::vector<record> records = {
        kept, changed, data_centre_record{.name = {"d"}, .limit = {}}};
    std::vector<written_record> wanted;
    for (const auto& each : records)
        wanted.push_back(check_record(to_json(each), "test"));
    const auto plan = plan_changes(index_rows(rows), wanted, true);
    ASSERT_EQ(plan.size(), 3u);
    EXPECT_EQ(plan[0].expected, 5u);
    EXPECT_EQ(plan[1].expected, 0u);
    EXPECT_FALSE(plan[2].after);
    EXPECT_EQ(plan[2].key, "records/data_centre/c");
}

TEST(record_change, taking_out_keeps_the_data_centres_limit)
{
    const std::vector<table_row> rows = {
        {"records/data_centre/a", 3, "w",
         to_json(data_centre_record{.name = {"a"}, .limit = 9}).dump()}};
    const auto change =
        plan_data_centre_state(index_rows(rows), {"a"}, service_state::out);
    EXPECT_EQ(change.expected, 3u);
    const auto after =
        std::get<data_centre_record>(parse_record(*change.after, "test"));
    EXPECT_EQ(after.limit, 9);
    EXPECT_EQ(after.state, service_state::out);
}
