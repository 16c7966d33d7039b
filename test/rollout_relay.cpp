#include "peers/rollout_relay.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace vanillapost;
using namespace vanillapost::router;
using io::detail::parse_message;
using io::detail::write_message;
using nlohmann::json;

/// Two instances; what one sends the other handles.
struct relayed
{
    std::vector<std::string> sent;
    std::vector<std::pair<service_id, rollout_directive>> directives;
    std::vector<evidence_report> reports;
    rollout_relay relay{
        [this](std::string_view, const member&, std::string_view bytes) {
            sent.emplace_back(bytes);
        }};
    std::vector<member> peers{2};

    relayed()
    {
        rollout_relay_handlers handlers;
        handlers.on_directive = [this](const service_id& service,
                                       const rollout_directive& directive) {
            directives.emplace_back(service, directive);
        };
        handlers.on_report = [this](const evidence_report& report) {
            reports.push_back(report);
        };
        relay.set_handlers(std::move(handlers));
    }
};

TEST(RolloutRelay, ADirectiveArrivesAsItWasSent)
{
    relayed test;
    const rollout_directive directive{7, rollout_phase::ramping, 0.25, 3};
    test.relay.tell({"s"}, directive, test.peers);
    ASSERT_EQ(test.sent.size(), 2U);
    const auto message = parse_message(test.sent[0]);
    EXPECT_TRUE(rollout_relay::is_message(message));
    test.relay.handle(message);
    ASSERT_EQ(test.directives.size(), 1U);
    EXPECT_EQ(test.directives[0].first, service_id{"s"});
    EXPECT_EQ(test.directives[0].second, directive);
}

TEST(RolloutRelay, AReportArrivesAsItWasSent)
{
    relayed test;
    rollout_evidence seen({{"r1"}, "1"}, {"s"}, 7, time_point{});
    seen.record("lookup", version_side::target, {"t"}, false,
                std::chrono::milliseconds(20));
    const auto report = seen.own_report(4, 2, time_point{});
    test.relay.report(report, test.peers);
    test.relay.handle(parse_message(test.sent.at(0)));
    ASSERT_EQ(test.reports.size(), 1U);
    EXPECT_EQ(test.reports[0], report);
}

// An earlier version reads the rate limits of a message that has the field,
// and nothing else of it; what it knows nothing of it would log.
TEST(RolloutRelay, AnEarlierVersionTakesItForAnEmptyListOfRateLimits)
{
    relayed test;
    test.relay.tell({"s"}, {}, test.peers);
    const auto message = parse_message(test.sent.at(0));
    EXPECT_EQ(message.at("limits"), json::array());
    for (const auto* field : {"hello", "heartbeat", "leaving"})
        EXPECT_FALSE(message.contains(field));
}

TEST(RolloutRelay, NothingIsSentToNobody)
{
    relayed test;
    test.relay.tell({"s"}, {}, {});
    EXPECT_TRUE(test.sent.empty());
}

TEST(RolloutRelay, WhatIsNoDirectiveOrReportIsRefused)
{
    relayed test;
    const auto good = to_json(rollout_directive{});
    for (const auto& message :
         {json{{"rollout", good}}, json{{"rollout", good}, {"service", 7}},
          json{{"rollout", good}, {"service", "a\nb"}},
          json{{"rollout", good}, {"service", std::string(201, 's')}},
          json{{"rollout", json::array()}, {"service", "s"}},
          json{{"rollout", "x"}, {"service", "s"}},
          json{{"rollout_report", json::array()}},
          json{{"rollout_report", nullptr}}})
        EXPECT_ANY_THROW(test.relay.handle(message)) << message.dump();
    EXPECT_TRUE(test.directives.empty());
    EXPECT_TRUE(test.reports.empty());
}

} // namespace
