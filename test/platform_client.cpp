#include "io_support.hpp"
#include "vanillapost/src/io/table_rows.hpp"

#include <nlohmann/json.hpp>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;

/// A platform that answers with what a test sets.
struct fake_platform
{
    event_loop loop;
    int status = 200;
    std::string body;
    bool silent = false;
    std::string last_request;
    std::string last_client;
    std::vector<std::unique_ptr<server_exchange>> held;
    http_server server{loop, {}, [this](std::unique_ptr<server_exchange> e) {
                           answer(std::move(e));
                       }};
    platform_client client{loop, server.listen(any_port), "entry-1", 300ms};

    void answer(std::unique_ptr<server_exchange> e)
    {
        last_request = std::string(e->path()) + "?" + std::string(e->query()) +
                       " " + std::string(e->body());
        last_client = find_header(e->headers(), "Client").value_or("");
        if (silent)
            held.push_back(std::move(e));
        else
            e->reply(status, {}, body);
    }

    template <class T>
    T await(std::function<void(std::function<void(T)>)> start)
    {
        std::optional<T> got;
        int calls = 0;
        start([&](T result) {
            got = std::move(result);
            ++calls;
        });
        run_until(loop, [&] { return got.has_value(); });
        EXPECT_EQ(calls, 1);
        return *got;
    }

    platform_result<table_row> read(std::string_view key)
    {
        return await<platform_result<table_row>>(
            [&](auto done) { client.read(key, done); });
    }

    transaction_result transact(const table_transaction& transaction = {})
    {
        return await<transaction_result>(
            [&](auto done) { client.transact(transaction, done); });
    }
};

TEST(PlatformClient, ReadsRows)
{
    fake_platform p;
    p.body = R"({"key":"a/b c","revision":7,"write_id":"w","value":"text"})";
    auto row = std::get<table_row>(p.read("a/b c"));
    EXPECT_EQ(p.last_request, "/v1/table/row?key=a%2Fb%20c ");
    EXPECT_EQ(p.last_client, "entry-1");
    EXPECT_EQ(row.at, 7U);
    EXPECT_EQ(row.value, "text");
    p.body = R"({"key":"k","revision":8,"write_id":"w","value":null})";
    EXPECT_FALSE(std::get<table_row>(p.read("k")).value);
    p.status = 404;
    EXPECT_EQ(std::get<table_row>(p.read("k")).at, 0U);
}

TEST(PlatformClient, ReadsChanges)
{
    fake_platform p;
    p.body = R"({"latest":9,"rows":[{"key":"k","revision":8,"write_id":"w",
                "value":"v"}]})";
    auto changes =
        std::get<table_changes>(p.await<platform_result<table_changes>>(
            [&](auto done) { p.client.changes("records/", 3, done); }));
    EXPECT_EQ(p.last_request, "/v1/table/changes?prefix=records%2F&since=3 ");
    EXPECT_EQ(changes.latest, 9U);
    EXPECT_EQ(changes.rows.at(0).key, "k");
}

TEST(PlatformClient, TransactsAndTellsConflicts)
{
    fake_platform p;
    p.body = R"({"revision":12})";
    table_transaction transaction{
        "w1",
        {{"k", 3, table_operation::action::put, "v"},
         {"c", 0, table_operation::action::check, ""}}};
    auto done = std::get<transaction_done>(p.transact(transaction));
    EXPECT_EQ(done.at, 12U);
    auto sent =
        nlohmann::json::parse(p.last_request.substr(p.last_request.find('{')));
    EXPECT_EQ(sent["write_id"], "w1");
    EXPECT_EQ(sent["operations"][0]["action"], "put");
    EXPECT_EQ(sent["operations"][0]["expected"], 3);
    EXPECT_EQ(sent["operations"][1]["action"], "check");
    p.status = 409;
    p.body = R"({"conflicts":[{"key":"k","revision":5,"write_id":"x",
                "value":"y"}]})";
    auto lost = std::get<transaction_conflict>(p.transact(transaction));
    EXPECT_EQ(lost.rows.at(0).at, 5U);
}

bool may_have_run(const transaction_result& result)
{
    return std::get<platform_unavailable>(result).may_have_run;
}

TEST(PlatformClient, SaysTrulyWhetherAWriteMayHaveRun)
{
    fake_platform p;
    p.status = 503;
    EXPECT_FALSE(may_have_run(p.transact())) << "503: nothing took effect";
    p.status = 500;
    EXPECT_TRUE(may_have_run(p.transact()));
    p.status = 200;
    p.body = "{\"revision\":";
    EXPECT_TRUE(may_have_run(p.transact())) << "malformed answer";
    p.silent = true;
    EXPECT_TRUE(may_have_run(p.transact())) << "timeout";
    p.held.clear();
    p.server.stop_accepting();
    run_for(p.loop, 20ms);
    EXPECT_FALSE(may_have_run(p.transact())) << "refused";
}

// A key shorter than the table's prefix threw out_of_range into the loop.
TEST(PlatformClient, RowsOfAnotherTableAreLeftOut)
{
    fake_platform p;
    p.body = R"({"latest":9,"rows":[{"key":"k","revision":7,"value":"v"},
        {"key":"table/a","revision":8,"value":"w"}]})";
    table_rows rows(p.loop, p.client, "w");
    std::vector<malformed_row> malformed_rows;
    rows.on_malformed_row(
        [&](std::string_view table, const malformed_row& row) {
            EXPECT_EQ(table, "table");
            malformed_rows.push_back(row);
        });
    const auto got = p.await<store_result>(
        [&](auto done) { rows.follow("table", 3, 1s, done); });
    const auto& found = std::get<store_rows>(got).rows;
    ASSERT_EQ(found.size(), 1u);
    EXPECT_EQ(found[0].key, "a");
    EXPECT_EQ(malformed_rows.size(), 1u);
}

TEST(PlatformClient, DestroyingItDropsCalls)
{
    event_loop loop;
    raw_server silent(loop);
    bool called = false;
    {
        platform_client client(loop, silent.where, "x", 50ms);
        client.read("k", [&](const auto&) { called = true; });
    }
    run_for(loop, 200ms);
    EXPECT_FALSE(called);
}

} // namespace
