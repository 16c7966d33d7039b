#include "io_support.hpp"

#include <algorithm>
#include <optional>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;
using namespace std::chrono_literals;
using nlohmann::json;

mesh_limits quick_limits()
{
    mesh_limits limits;
    limits.reconnect_interval = 10ms;
    return limits;
}

/// A mesh that notes what it is told.
struct node
{
    entry_incarnation self;
    std::vector<json> messages;
    std::vector<entry_incarnation> ups, downs, ended;
    std::optional<mesh> net;
    address where;

    node(event_loop& loop, const std::string& name,
         const std::string& incarnation, address at = {"127.0.0.1", 0},
         mesh_limits limits = quick_limits())
        : self{{name}, incarnation}
    {
        mesh_handlers handlers;
        handlers.on_message = [this](const auto&, json message) {
            messages.push_back(std::move(message));
        };
        handlers.on_up = [this](const auto& who) { ups.push_back(who); };
        handlers.on_down = [this](const auto& who) { downs.push_back(who); };
        handlers.on_ended = [this](const auto& who) { ended.push_back(who); };
        net.emplace(loop, self, limits, handlers);
        where = net->listen(at);
    }

    void knows(const node& other)
    {
        net->set_peers({{other.self.name, other.where}});
    }
};

struct pair_of_nodes
{
    event_loop& loop;
    node a{loop, "a", "a1"};
    node b{loop, "b", "b1"};

    explicit pair_of_nodes(event_loop& on) : loop(on)
    {
        a.knows(b);
        b.knows(a);
        run_until(loop, [&] { return !a.ups.empty() && !b.ups.empty(); });
    }
};

TEST(Mesh, CarriesMessagesInOrderBothWays)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    EXPECT_EQ(pair.a.ups.front(), pair.b.self);
    EXPECT_EQ(pair.b.ups.front(), pair.a.self);
    constexpr int count = 100;
    for (int i = 0; i < count; ++i) {
        EXPECT_TRUE(pair.a.net->send({"b"}, {{"t", "x"}, {"n", i}}));
        EXPECT_TRUE(pair.b.net->send({"a"}, {{"t", "y"}, {"n", i}}));
    }
    run_until(loop, [&] {
        return pair.a.messages.size() == count &&
               pair.b.messages.size() == count;
    });
    for (int i = 0; i < count; ++i) {
        EXPECT_EQ(pair.b.messages[i]["n"], i);
        EXPECT_EQ(pair.a.messages[i]["n"], i);
    }
    EXPECT_GE(pair.b.net->bytes_received(), count * 5U);
}

TEST(Mesh, SendToAPeerThatIsNotUpSaysSo)
{
    event_loop loop;
    node a(loop, "a", "a1");
    EXPECT_FALSE(a.net->send({"b"}, {{"t", "x"}}));
}

TEST(Mesh, EndOfTheLargerNameIsToldToTheSmaller)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    pair.b.net.reset();
    run_until(loop, [&] { return !pair.a.ended.empty(); });
    EXPECT_EQ(pair.a.ended, std::vector{pair.b.self});
    EXPECT_EQ(pair.a.downs, std::vector{pair.b.self});
    run_for(loop, 100ms);
    EXPECT_EQ(pair.a.ended.size(), 1U) << "told once";
}

TEST(Mesh, EndOfTheSmallerNameIsToldToTheLarger)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    pair.a.net.reset();
    run_until(loop, [&] { return !pair.b.ended.empty(); });
    EXPECT_EQ(pair.b.ended, std::vector{pair.a.self});
}

TEST(Mesh, NewIncarnationAtTheSameAddressMeansTheOldOneEnded)
{
    event_loop loop;
    mesh_limits slow = quick_limits();
    pair_of_nodes pair(loop);
    auto at = pair.a.where;
    pair.a.net.reset();
    node again(loop, "a", "a2", at, slow);
    again.knows(pair.b);
    run_until(loop, [&] { return pair.b.ups.size() == 2; });
    EXPECT_EQ(pair.b.ups.back(), again.self);
    EXPECT_EQ(pair.b.ended, std::vector{pair.a.self});
}

TEST(Mesh, NewIncarnationElsewhereDoesNotProveAnEnd)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    node twin(loop, "a", "a2");
    pair.a.net->set_peers({});
    twin.knows(pair.b);
    run_until(loop, [&] { return pair.b.ups.size() == 2; });
    run_for(loop, 100ms);
    EXPECT_TRUE(pair.b.ended.empty()) << "the old process still listens";
    pair.a.net.reset();
    run_until(loop, [&] { return !pair.b.ended.empty(); });
    EXPECT_EQ(pair.b.ended, std::vector{pair.a.self});
}

TEST(Mesh, ReconnectsAfterARestart)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    auto at = pair.b.where;
    pair.b.net.reset();
    run_until(loop, [&] { return !pair.a.ended.empty(); });
    node again(loop, "b", "b2", at);
    again.knows(pair.a);
    run_until(loop, [&] { return pair.a.ups.size() == 2; });
    EXPECT_TRUE(pair.a.net->send({"b"}, {{"t", "x"}}));
    run_until(loop, [&] { return !again.messages.empty(); });
}

TEST(Mesh, PeerThatIsNoLongerNamedIsClosed)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    pair.a.net->set_peers({});
    EXPECT_EQ(pair.a.downs, std::vector{pair.b.self});
    EXPECT_TRUE(pair.a.net->up().empty());
    run_until(loop, [&] { return !pair.b.downs.empty(); });
    run_for(loop, 100ms);
    EXPECT_TRUE(pair.b.ended.empty()) << "it still listens";
}

TEST(Mesh, UnknownNamesAreNotLetIn)
{
    event_loop loop;
    node a(loop, "a", "a1");
    node b(loop, "b", "b1");
    a.knows(b);
    run_for(loop, 200ms);
    EXPECT_TRUE(a.ups.empty() || !a.downs.empty());
    EXPECT_TRUE(b.ups.empty());
}

TEST(Mesh, OversizedMessageDropsTheConnection)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    std::string large(mesh_limits().max_message_bytes + 1, 'x');
    pair.a.net->send({"b"}, {{"t", large}});
    run_until(loop, [&] { return !pair.b.downs.empty(); });
    EXPECT_TRUE(pair.b.messages.empty());
    run_until(loop, [&] { return pair.b.ups.size() == 2; });
}

TEST(Mesh, PendingOutputIsBounded)
{
    event_loop loop;
    pair_of_nodes pair(loop);
    std::string large(64 * 1024, 'x');
    // The loop does not run: nothing is read on the other side.
    for (int i = 0; i < 64; ++i)
        pair.a.net->send({"b"}, {{"t", large}});
    run_until(loop, [&] { return !pair.a.downs.empty(); });
    EXPECT_LT(pair.a.net->bytes_sent(), 4U * 1024 * 1024);
}

} // namespace
