#include "quota_fleet.hpp"

#include "vanillapost/base.hpp"

#include <cstdio>
#include <gtest/gtest.h>

namespace vanillapost {
namespace {

using namespace test;

constexpr duration load_begins = 5s; ///< of what is counted
constexpr double hot_factor = 7;
constexpr double usual_share = 0.6; ///< of the limit, that is asked for

organisation make_organisation(const std::string& name, double rate)
{
    organisation result;
    result.id.value = name;
    result.limit = {rate, rate};
    return result;
}

enum class pattern
{
    even,        ///< usual demand at all instances
    few,         ///< usual demand at a few instances
    hot_at_one,  ///< seven times as much at one data centre
    hot_at_all,  ///< seven times as much everywhere
    hot_moving,  ///< seven times as much, in data centres by turns
    hot_at_few,  ///< seven times as much, at the few of every day
    full_at_few, ///< just its limit, at a few
};

const char* name_of(pattern shape)
{
    constexpr const char* names[] = {"even",       "few",        "hot at one",
                                     "hot at all", "hot moving", "hot at few",
                                     "full at few"};
    return names[static_cast<std::size_t>(shape)];
}

demand_at demand_of(pattern shape, double rate, std::size_t seed,
                    std::size_t instances, duration now)
{
    const auto few = std::min<std::size_t>(instances, 3);
    const auto third = instances / 3;
    const double usual = rate * usual_share;
    const bool hot = now >= 8s && now < 16s;
    const demand_at at_few{usual, seed * 7 % instances, few};
    switch (shape) {
    case pattern::even:
        return {usual, 0, instances};
    case pattern::few:
        return at_few;
    case pattern::hot_at_one:
        return hot ? demand_at{usual * hot_factor, 0, third} : at_few;
    case pattern::hot_at_all:
        return {hot ? usual * hot_factor : usual, 0, instances};
    case pattern::hot_moving: {
        const auto turn = static_cast<std::size_t>(now / 3s) % 3;
        return hot ? demand_at{usual * hot_factor, turn * third, third}
                   : at_few;
    }
    case pattern::hot_at_few:
        return {hot ? usual * hot_factor : usual, at_few.first, few};
    case pattern::full_at_few:
        return {rate, at_few.first, few};
    }
    return {};
}

std::vector<tenant_load> make_loads(pattern shape, std::size_t instances)
{
    std::vector<tenant_load> loads;
    std::size_t seed = 0;
    for (const double rate : {5.0, 10.0, 25.0, 50.0, 120.0, 300.0}) {
        const auto name = "org-" + std::to_string(static_cast<int>(rate));
        loads.push_back(
            {make_organisation(name, rate), [=, s = seed++](duration now) {
                 return demand_of(shape, rate, s, instances, now);
             }});
    }
    return loads;
}

struct figures
{
    double worst_use = 0;   ///< of the bound
    double least_share = 1; ///< of one organisation
    double mean_share = 0;  ///< of the requests within the quotas
};

figures measure(const quota_fleet& fleet, const std::vector<tenant_load>& loads,
                duration since, duration until)
{
    figures result;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const auto& limit = loads[i].who.limit;
        const double most = static_cast<double>(fleet.most_in_window(i, since));
        result.worst_use =
            std::max(result.worst_use, most / quota_fleet::allowed(limit));
        const double share = fleet.share_served(i, since, until);
        result.least_share = std::min(result.least_share, share);
        result.mean_share += share / static_cast<double>(loads.size());
    }
    return result;
}

void print(const char* what, std::size_t instances, const figures& seen,
           double messages)
{
    std::printf("%-22s %4zu instances: %.2f of the bound, %.3f served, least "
                "%.3f, %.1f messages/s each\n",
                what, instances, seen.worst_use, seen.mean_share,
                seen.least_share, messages);
}

using shaped = std::tuple<pattern, std::size_t>;

class QuotaLoads : public testing::TestWithParam<shaped>
{
};

TEST_P(QuotaLoads, AreBoundAndServed)
{
    const auto [shape, instances] = GetParam();
    fleet_settings settings;
    settings.instances = instances;
    const auto loads = make_loads(shape, instances);
    quota_fleet fleet(settings, loads);
    fleet.run(20s);
    const auto seen = measure(fleet, loads, load_begins, 19s);
    print(name_of(shape), instances, seen, fleet.messages_per_second(17s));
    EXPECT_LE(seen.worst_use, 1);
    EXPECT_GE(seen.mean_share, 0.95);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, QuotaLoads,
    testing::Combine(testing::Values(pattern::even, pattern::few,
                                     pattern::hot_at_one, pattern::hot_at_all,
                                     pattern::hot_moving, pattern::hot_at_few,
                                     pattern::full_at_few),
                     testing::Values(6, 56, 528)));

TEST(Quotas, AreBrokenWhereEachInstanceKeepsThemByItself)
{
    fleet_settings settings;
    settings.broken = broken_rule::no_sharing;
    const auto loads = make_loads(pattern::hot_at_all, 6);
    quota_fleet fleet(settings, loads);
    fleet.run(20s);
    EXPECT_GT(measure(fleet, loads, load_begins, 19s).worst_use, 1);
}

TEST(Quotas, AreWastedWithEqualParts)
{
    for (const std::size_t instances : {6, 56}) {
        fleet_settings settings;
        settings.instances = instances;
        settings.broken = broken_rule::equal_parts;
        const auto loads = make_loads(pattern::hot_at_one, instances);
        quota_fleet fleet(settings, loads);
        fleet.run(20s);
        const auto seen = measure(fleet, loads, load_begins, 19s);
        print("equal parts", instances, seen, 0);
        EXPECT_LT(seen.mean_share, 0.95);
    }
}

/// One organisation whose callers ask for far too much at all instances.
std::vector<tenant_load> greedy_load(double rate, std::size_t instances)
{
    return {{make_organisation("greedy", rate), [=](duration) {
                 return demand_at{rate * 8, 0, instances};
             }}};
}

using event_at = std::function<void(quota_fleet&)>;

figures play_greedy(const char* what, fleet_settings settings, double rate,
                    duration when, const event_at& event, duration until = 20s)
{
    const auto loads = greedy_load(rate, settings.instances);
    quota_fleet fleet(settings, loads);
    fleet.at(when, [&] { event(fleet); });
    fleet.run(until);
    const auto seen = measure(fleet, loads, load_begins, until);
    print(what, settings.instances, seen, fleet.messages_per_second(until));
    return seen;
}

class QuotaFailures : public testing::TestWithParam<std::size_t>
{
protected:
    fleet_settings with(broken_rule broken = broken_rule::none) const
    {
        fleet_settings settings;
        settings.instances = GetParam();
        settings.broken = broken;
        return settings;
    }
};

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaFailures, testing::Values(6, 56, 528));

TEST_P(QuotaFailures, LostLateAndDoubledMessagesBreakNoBound)
{
    auto settings = with();
    settings.loss = settings.late = settings.doubled = 0.25;
    const auto seen =
        play_greedy("bad network", settings, 100, 1s, [](quota_fleet&) {});
    EXPECT_LE(seen.worst_use, 1);
    EXPECT_GE(seen.mean_share, 0.6);
}

TEST_P(QuotaFailures, DoubledMessagesWasteNothing)
{
    const auto play = [&](broken_rule broken) {
        auto settings = with(broken);
        settings.doubled = 1;
        settings.late = 0;
        return play_greedy("doubled", settings, 100, 1s, [](quota_fleet&) {})
            .mean_share;
    };
    EXPECT_GE(play(broken_rule::none), 0.95);
    EXPECT_LT(play(broken_rule::doubled_count), 0.95);
}

/// An organisation of which instance 0 is an owner.
std::string name_of_owned_by_first(std::size_t instances)
{
    quota_view view;
    for (std::size_t i = 0; i < instances; ++i)
        view.members.push_back(entry_id{"edge-" + std::to_string(i)});
    for (int number = 0;; ++number) {
        const auto name = "org-" + std::to_string(number);
        const auto owners = quota_owners(organisation_id{name}, view);
        if (owners.front() == view.members.front())
            return name;
    }
}

/// An owner whose callers ask for much is cut off and notices it late.
figures play_cut_owner(const fleet_settings& settings)
{
    const double rate = 150;
    const auto who =
        make_organisation(name_of_owned_by_first(settings.instances), rate);
    const std::vector<tenant_load> loads = {
        {who, [&](duration now) {
             // Half of the requests come to the one that is cut off.
             const bool odd = now.count() % 2 != 0;
             return demand_at{rate * 8, 0, odd ? 1 : settings.instances};
         }}};
    quota_fleet fleet(settings, loads);
    fleet.at(8s, [&] { fleet.partition(1, 8s); });
    fleet.at(18s, [&] { fleet.heal(); });
    fleet.run(24s);
    const auto seen = measure(fleet, loads, load_begins, 24s);
    print("cut owner", settings.instances, seen, 0);
    return seen;
}

TEST_P(QuotaFailures, ACutInstanceStopsByItself)
{
    EXPECT_LE(play_cut_owner(with()).worst_use, 1);
}

TEST_P(QuotaFailures, ACutInstanceDoesNotStopWithoutConfirmation)
{
    EXPECT_GT(play_cut_owner(with(broken_rule::no_confirmation)).worst_use, 1);
}

TEST_P(QuotaFailures, APartitionLeavesOneSideThatGrants)
{
    for (const std::size_t part : {2, 3, 4}) {
        const auto seen =
            play_greedy("partition", with(), 150, 8s, [&](quota_fleet& fleet) {
                fleet.partition(GetParam() / part);
            });
        EXPECT_LE(seen.worst_use, 1);
    }
}

TEST_P(QuotaFailures, APartitionDoublesAQuotaThatAMinorityGrants)
{
    const auto seen = play_greedy(
        "no majority", with(broken_rule::no_majority), 150, 8s,
        [&](quota_fleet& fleet) { fleet.partition(GetParam() / 3); });
    EXPECT_GT(seen.worst_use, 1);
}

TEST_P(QuotaFailures, ARestartOfAllBreaksNoBound)
{
    const auto seen =
        play_greedy("restart of all", with(), 150, 8s, [](quota_fleet& fleet) {
            for (std::size_t i = 0; i < fleet.size(); ++i)
                fleet.kill(i);
            fleet.at(8500ms, [&] {
                for (std::size_t i = 0; i < fleet.size(); ++i)
                    fleet.restart(i);
            });
        });
    EXPECT_LE(seen.worst_use, 1);
    EXPECT_GE(seen.mean_share, 0.7);
}

TEST_P(QuotaFailures, AKilledOwnerCostsLessThanHalfForAShortTime)
{
    const auto seen =
        play_greedy("killed owner", with(), 150, 10s, [](quota_fleet& fleet) {
            fleet.kill(fleet.owners_of(0).front());
        });
    EXPECT_LE(seen.worst_use, 1);
    EXPECT_GE(seen.mean_share, 0.8);
}

figures play_joins(const fleet_settings& settings)
{
    return play_greedy(
        "members join", settings, 300, 8s, [](quota_fleet& fleet) {
            const auto count = std::min<std::size_t>(fleet.size() / 2, 16);
            for (std::size_t i = 0; i < count; ++i) {
                const auto later = scaled(6s, static_cast<double>(i) /
                                                  static_cast<double>(count));
                fleet.at(8s + later, [&] { fleet.join(); });
            }
        });
}

TEST_P(QuotaFailures, MembersThatJoinBreakNoBound)
{
    EXPECT_LE(play_joins(with()).worst_use, 1);
}

TEST_P(QuotaFailures, ALowerLimitBindsWithinASecond)
{
    const quota low{40, 40};
    const auto loads = greedy_load(200, GetParam());
    quota_fleet fleet(with(), loads);
    fleet.at(8s, [&] { fleet.change_limit(0, low); });
    fleet.run(18s);
    EXPECT_LE(static_cast<double>(fleet.most_in_window(0, 9s)),
              quota_fleet::allowed(low));
    EXPECT_GE(fleet.share_served(0, 10s, 17s), 0.9);
}

TEST_P(QuotaFailures, AHigherLimitIsUsed)
{
    const quota high{160, 160};
    const auto loads = greedy_load(40, GetParam());
    quota_fleet fleet(with(), loads);
    fleet.at(8s, [&] { fleet.change_limit(0, high); });
    fleet.run(18s);
    EXPECT_LE(static_cast<double>(fleet.most_in_window(0, 8s)),
              quota_fleet::allowed(high));
    EXPECT_GE(fleet.share_served(0, 9s, 17s), 0.9);
}

TEST(Quotas, WithoutALimitNothingIsSent)
{
    fleet_settings settings;
    auto loads = make_loads(pattern::even, 6);
    for (auto& each : loads)
        each.who.limit = {};
    quota_fleet fleet(settings, loads);
    fleet.run(10s);
    EXPECT_EQ(fleet.messages(), 0);
}

TEST(QuotaHolder, SendsCallersBackOneAfterTheOther)
{
    const time_point now{100s};
    quota_holder holder(now);
    std::vector<duration> times;
    for (int i = 0; i < 200; ++i) {
        const auto decision = holder.admit(true, now);
        const auto* refused = std::get_if<quota_refused>(&decision);
        ASSERT_TRUE(refused);
        times.push_back(refused->retry_after);
    }
    std::ranges::sort(times);
    EXPECT_GE(times.front(), 100ms);
    EXPECT_LE(times.back(), 2s);
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::ranges::lower_bound(times, *first + 200ms);
        EXPECT_LE(last - first, 40);
    }
}

std::vector<entry_id> first_members(int count)
{
    std::vector<entry_id> result;
    for (int i = 0; i < count; ++i)
        result.push_back(entry_id{"edge-" + std::to_string(i)});
    return result;
}

TEST(QuotaMembership, AMinorityForgetsNobodyUnlessItReachesTheStore)
{
    const time_point now{100s};
    quota_membership seen(entry_id{"edge-0"}, now);
    (void)seen.update({first_members(6), {}, {}, false}, now);
    const auto cut = seen.update({first_members(2), {}, {}, false}, now + 2min);
    EXPECT_FALSE(has_majority(cut));
    const quota_member_names reaching{first_members(2), {}, {}, true};
    EXPECT_FALSE(has_majority(seen.update(reaching, now + 3min)));
    EXPECT_FALSE(has_majority(seen.update(reaching, now + 3min + 9s)));
    EXPECT_TRUE(has_majority(seen.update(reaching, now + 3min + 10s)));
}

TEST(QuotaMembership, MembersThatLeaveAreNotMissed)
{
    const time_point now{100s};
    const auto all = first_members(6);
    quota_membership seen(entry_id{"edge-0"}, now);
    (void)seen.update({all, {}, {}, false}, now);
    const quota_member_names rest{
        first_members(2), {}, {all.begin() + 2, all.end()}, false};
    EXPECT_TRUE(has_majority(seen.update(rest, now)));
}

TEST(QuotaMessages, ComeThroughUnchanged)
{
    const quota_report report{
        entry_id{"edge-1"},
        7,
        {{organisation_id{"org-1"}, 3, 1}, {organisation_id{"org-2"}, 0, 2}}};
    EXPECT_EQ(parse_quota_report(to_json(report)), report);
    const quota_reply reply{
        entry_id{"edge-2"}, 7, {{organisation_id{"org-1"}, 2, 400ms, 200ms}}};
    EXPECT_EQ(parse_quota_reply(to_json(reply)), reply);
}

TEST(QuotaMessages, ThatAreMalformedAreRefused)
{
    for (const char* text :
         {"7", "[]", "[\"a\",1]", "[\"\",1,[]]", "[\"a\",-1,[]]",
          "[\"a\",1,[[\"b\",1]]]", "[\"a\",1,[[\"b\",1e9,0,0]]]",
          "[\"a\",1,[[3,1,0,0]]]", "[\"a\",1,{}]"}) {
        const auto message = nlohmann::json::parse(text);
        EXPECT_THROW((void)parse_quota_report(message), error) << text;
        EXPECT_THROW((void)parse_quota_reply(message), error) << text;
    }
}

} // namespace
} // namespace vanillapost
