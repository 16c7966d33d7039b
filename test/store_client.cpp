#include "../platform/store_client.hpp"
#include "../platform/store_answer.hpp"
#include "io_support.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <rapidcheck/gtest.h>
#include <websocketpp/base64/base64.hpp>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;
using nlohmann::json;

/// A store that gives one answer.
struct fake_store
{
    event_loop loop;
    std::string body;
    header_list headers;
    std::string asked; ///< target of the last call
    std::vector<malformed_row> malformed_rows;
    http_server server{loop, {}, [this](std::unique_ptr<server_exchange> e) {
                           asked = std::string(e->path()) + " after " +
                                   e->query_value("after");
                           e->reply(200, headers, body);
                       }};
    platform::store_client client{loop, server.listen(any_port)};

    fake_store()
    {
        client.on_malformed_row(
            [this](std::string_view, const malformed_row& row) {
                malformed_rows.push_back(row);
            });
    }

    store_result follow(std::string answer, std::uint64_t after = 3)
    {
        body = std::move(answer);
        std::optional<store_result> got;
        client.follow("servers", after, 100ms,
                      [&](store_result result) { got = std::move(result); });
        run_until(loop, [&] { return got.has_value(); });
        return std::move(*got);
    }

    store_result read_from(std::string_view first_key, std::string answer)
    {
        body = std::move(answer);
        std::optional<store_result> got;
        client.read("servers", first_key,
                    [&](store_result result) { got = std::move(result); });
        run_until(loop, [&] { return got.has_value(); });
        return std::move(*got);
    }
};

/// An answer at revision 9 with a good row after the given one.
std::string answer_with(const std::string& row)
{
    return R"({"revision":9,"now":1,"rows":[)" + row +
           R"(,{"key":"good","revision":8,"value":"eA=="}]})";
}

TEST(StoreClient, RevisionsBeginWithTheEpochOfTheAnswer)
{
    fake_store store;
    store.headers = {{"store-era", "2"}};
    const auto result =
        store.follow(answer_with(R"({"key":"a","revision":7,"value":"eA=="})"),
                     make_revision(2, 5));
    EXPECT_EQ(store.asked, "/rows-feed after 5");
    ASSERT_TRUE(std::holds_alternative<store_rows>(result));
    const auto& answer = std::get<store_rows>(result);
    EXPECT_EQ(answer.revision, make_revision(2, 9));
    ASSERT_EQ(answer.rows.size(), 2U);
    EXPECT_EQ(answer.rows[0].revision, make_revision(2, 7));
}

// One row that was nested deep held up all others, as long as it stood.
TEST(StoreClient, ARowThatIsNestedDeepLeavesTheOthersOfItsAnswer)
{
    for (const std::size_t depth : {5, 9, 1000, 100'000}) {
        const auto deep = std::string(depth, '[') + std::string(depth, ']');
        for (const auto& row :
             {R"({"key":"bad","revision":7,"value":)" + deep + "}",
              R"({"key":"bad","revision":)" + deep + R"(,"value":"eA=="})",
              R"({"key":"bad","revision":7,"value":{"a":)" + deep + "}}"}) {
            fake_store store;
            const auto result = store.follow(answer_with(row));
            ASSERT_TRUE(std::holds_alternative<store_rows>(result)) << depth;
            const auto& rows = std::get<store_rows>(result).rows;
            ASSERT_EQ(rows.size(), 2U) << depth;
            EXPECT_EQ(rows[0].value, "") << depth;
            EXPECT_EQ(rows[1].key, "good") << depth;
            EXPECT_EQ(store.malformed_rows.size(), 1U) << depth;
        }
    }
}

// An odd one would hide all that comes after it.
TEST(StoreClient, AnAnswerOfAnEpochThatIsNoneIsRefused)
{
    for (const std::string epoch :
         {"", "-1", "x", "1.5", "8192", "99999999999999999999", "1 2"}) {
        fake_store store;
        store.headers = {{"Store-Era", epoch}};
        const auto result = store.follow(
            answer_with(R"({"key":"a","revision":7,"value":"eA=="})"));
        ASSERT_TRUE(std::holds_alternative<store_failure>(result)) << epoch;
        EXPECT_EQ(std::get<store_failure>(result).kind,
                  store_failure_kind::bad_answer);
    }
}

// One row that could not be read held up all rows, for as long as it stood.
TEST(StoreClient, ASpoiltRowLeavesTheOthersOfItsAnswer)
{
    for (const std::string row :
         {R"({"key":"bad","revision":7})",
          R"({"key":"bad","revision":7,"value":null})",
          R"({"key":"bad","revision":7,"value":5})",
          R"({"key":"bad","revision":7,"value":"!!"})",
          R"({"key":"bad","revision":7,"value":"e"})",
          R"({"key":"bad","revision":-1,"value":"eA=="})",
          R"({"key":"bad","revision":1e300,"value":"eA=="})",
          R"({"key":"bad","revision":0,"value":"eA=="})",
          R"({"key":"bad","revision":7,"deleted":"no","value":"eA=="})",
          R"({"key":"bad","value":"eA=="})"}) {
        fake_store store;
        const auto result = store.follow(answer_with(row));
        ASSERT_TRUE(std::holds_alternative<store_rows>(result)) << row;
        const auto& rows = std::get<store_rows>(result).rows;
        ASSERT_EQ(rows.size(), 2u) << row;
        EXPECT_EQ(rows[0].key, "bad");
        EXPECT_EQ(rows[0].value, "") << row;
        EXPECT_FALSE(rows[0].removed);
        EXPECT_TRUE(rows[0].revision == 7 || rows[0].revision == 9) << row;
        EXPECT_EQ(rows[1].value, "x") << row;
        ASSERT_EQ(store.malformed_rows.size(), 1u) << row;
        EXPECT_EQ(store.malformed_rows[0].key, "bad") << row;
    }
}

TEST(StoreClient, ARowWithoutAUsableKeyIsLeftOut)
{
    for (const auto& row :
         {std::string(R"({"revision":7,"value":"eA=="})"),
          std::string(R"({"key":5,"revision":7,"value":"eA=="})"),
          std::string(R"({"key":"","revision":7,"value":"eA=="})"),
          std::string(R"({"key":"a\r\nb","revision":7,"value":"eA=="})"),
          std::string(R"({"key":"\ud800","revision":7,"value":"eA=="})"),
          std::string("{\"key\":\"\xc1\",\"revision\":7,\"value\":\"eA==\"}"),
          R"({"key":")" + std::string(201, 'k') +
              R"(","revision":7,"value":"eA=="})",
          std::string("[]"), std::string("null"), std::string("7")}) {
        fake_store store;
        const auto result = store.follow(answer_with(row));
        ASSERT_TRUE(std::holds_alternative<store_rows>(result)) << row;
        const auto& rows = std::get<store_rows>(result).rows;
        ASSERT_EQ(rows.size(), 1u) << row;
        EXPECT_EQ(rows[0].key, "good");
        ASSERT_EQ(store.malformed_rows.size(), 1u) << row;
        EXPECT_EQ(store.malformed_rows[0].key, "") << row;
    }
}

TEST(StoreClient, GoodRowsAreReadAsTheyAre)
{
    fake_store store;
    const auto result = store.follow(
        R"({"revision":9,"hasMore":false,"rows":[
            {"table":"servers","part":"","key":"k","revision":7,
             "value":"AP/B","future":{"a":[1]}},
            {"key":"gone","revision":9,"deleted":true},
            {"key":"\ud83d\ude00","revision":9,"value":""}]})");
    const auto& rows = std::get<store_rows>(result).rows;
    ASSERT_EQ(rows.size(), 3u);
    EXPECT_EQ(rows[0].value, std::string("\0\xff\xc1", 3));
    EXPECT_TRUE(rows[1].removed);
    EXPECT_EQ(rows[2].key, "\xf0\x9f\x98\x80");
    EXPECT_TRUE(store.malformed_rows.empty());
}

TEST(StoreClient, ARowThatIsNewerThanItsAnswerHidesNoLaterChange)
{
    for (const std::string revision : {"10", "18446744073709551615"}) {
        const auto answer = platform::decode_store_answer(answer_with(
            R"({"key":"k","value":"eQ==","revision":)" + revision + "}"));
        ASSERT_EQ(answer.rows.rows.size(), 2u);
        EXPECT_EQ(answer.rows.rows[0].revision, 9u);
        EXPECT_EQ(answer.rows.rows[0].value, "y");
    }
}

// Revision -1 became the highest of all, which hid every later change.
TEST(StoreClient, AnAnswerWithoutARevisionToGoOnFromIsRefused)
{
    for (const std::string text :
         {"", "[]", R"({"rows":[]})", R"({"revision":-1,"rows":[]})",
          R"({"revision":1e300,"rows":[]})", R"({"revision":"9","rows":[]})",
          R"({"revision":18446744073709551615,"rows":[]})",
          R"({"revision":9,"rows":{}})"}) {
        fake_store store;
        const auto result = store.follow(text);
        const auto* failure = std::get_if<store_failure>(&result);
        ASSERT_NE(failure, nullptr) << text;
        EXPECT_EQ(failure->kind, store_failure_kind::bad_answer);
    }
}

TEST(StoreClient, DeepNestingIsLeftOutWithoutRecursion)
{
    constexpr std::size_t depth = 200'000;
    const auto deep = R"({"revision":9,"rows":[)" + std::string(depth, '[') +
                      std::string(depth, ']') + "]}";
    fake_store store;
    const auto result = store.follow(deep);
    ASSERT_TRUE(std::holds_alternative<store_rows>(result));
    EXPECT_EQ(std::get<store_rows>(result).revision, 9U);
    EXPECT_TRUE(std::get<store_rows>(result).rows.empty());
    EXPECT_EQ(store.malformed_rows.size(), 1U);
}

// It would have been collected without an end.
TEST(StoreClient, AnAnswerThatIsTooLongIsRefused)
{
    fake_store store;
    const auto result =
        store.follow(R"({"revision":9,"rows":[],"x":")" +
                     std::string(std::size_t{17} * 1024 * 1024, 'x') + "\"}");
    EXPECT_TRUE(std::holds_alternative<store_failure>(result));
}

// The same page was asked for again and again, without a pause.
TEST(StoreClient, APageThatNamesNoLaterKeyIsRefused)
{
    const std::string page = R"({"revision":9,"hasMore":true,"rows":[)";
    const std::string row = R"({"key":"b","revision":8,"value":"eA=="})";
    fake_store store;
    EXPECT_TRUE(std::holds_alternative<store_failure>(
        store.read_from("a", page + "]}")));
    EXPECT_TRUE(std::holds_alternative<store_failure>(
        store.read_from("c", page + row + "]}")));
    const auto good = store.read_from("b", page + row + "]}");
    EXPECT_TRUE(std::get<store_rows>(good).more);
}

/// A store that keeps what it is told to write, and may lose its answers.
struct writing_store
{
    event_loop loop;
    int status = 200;
    bool loses_answers = false;
    header_list headers{{"Store-Era", "1"}};
    std::vector<std::unique_ptr<server_exchange>> unanswered;
    json written;
    std::string asked;
    http_server server{loop, {}, [this](std::unique_ptr<server_exchange> e) {
                           take(std::move(e));
                       }};
    platform::store_client client{loop, server.listen(any_port)};

    void take(std::unique_ptr<server_exchange> exchange)
    {
        asked = std::string(exchange->path()) + "?" +
                std::string(exchange->query());
        if (!exchange->body().empty())
            written = json::parse(exchange->body());
        if (loses_answers)
            unanswered.push_back(std::move(exchange));
        else
            exchange->reply(status, headers, stored());
    }

    /// The row that was written, if one was, and one behind it.
    std::string stored() const
    {
        json rows = json::array();
        if (!written.is_null()) {
            auto row = written.at("writes").at(0);
            row["revision"] = 8;
            rows.push_back(std::move(row));
        }
        rows.push_back(
            {{"key", "rollout/z"}, {"revision", 3}, {"value", "eA=="}});
        return json{{"revision", 9}, {"rows", std::move(rows)}}.dump();
    }

    store_result put_if(std::uint64_t expected)
    {
        const std::vector<row_condition> conditions = {
            {"status", "rollout/s", expected},
            {"op", "rollout/s", make_revision(1, 4)}};
        return wait([&](auto done) {
            client.put_if(conditions, "status", "rollout/s", "text", done);
        });
    }

    store_result read_row()
    {
        return wait(
            [&](auto done) { client.read_row("status", "rollout/s", done); });
    }

private:
    template <class Call>
    store_result wait(const Call& call)
    {
        std::optional<store_result> got;
        call([&](store_result result) { got = std::move(result); });
        run_until(loop, [&] { return got.has_value(); });
        return std::move(*got);
    }
};

TEST(StoreClient, AWriteUnderConditionsNamesThemAll)
{
    writing_store store;
    const auto result = store.put_if(make_revision(1, 7));
    EXPECT_EQ(std::get<store_rows>(result).revision, make_revision(1, 9));
    EXPECT_EQ(store.asked, "/rows-tx?");
    EXPECT_EQ(store.written.at("expect"), json::parse(R"([
        {"table":"status","part":"","key":"rollout/s","revision":7},
        {"table":"op","part":"","key":"rollout/s","revision":4}])"));
    EXPECT_EQ(store.written.at("writes"), json::parse(R"([
        {"table":"status","part":"","key":"rollout/s","value":"dGV4dA=="}])"));
    EXPECT_TRUE(store.written.at("remove").empty());
}

TEST(StoreClient, AWriteWhoseConditionsDoNotHoldIsAConflict)
{
    writing_store store;
    store.status = 412;
    const auto result = store.put_if(0);
    EXPECT_EQ(std::get<store_failure>(result).kind,
              store_failure_kind::conflict);
    EXPECT_EQ(store.written.at("expect").at(0).at("revision"), 0);
}

TEST(StoreClient, OneRowIsReadWithoutThoseBehindIt)
{
    writing_store store;
    const auto none = std::get<store_rows>(store.read_row());
    EXPECT_TRUE(none.rows.empty());
    EXPECT_EQ(store.asked,
              "/rows-get?table=status&part=&limit=1&fromRev=rollout/s");
}

// What became of the write is shown by the row alone.
TEST(StoreClient, ARowIsReadBackAfterTheAnswerToItsWriteWasLost)
{
    writing_store store;
    store.loses_answers = true;
    const auto lost = store.put_if(0);
    EXPECT_EQ(std::get<store_failure>(lost).kind,
              store_failure_kind::unreachable);
    store.loses_answers = false;
    const auto read = std::get<store_rows>(store.read_row());
    ASSERT_EQ(read.rows.size(), 1U);
    EXPECT_EQ(read.rows[0].value, "text");
    EXPECT_EQ(read.rows[0].revision, make_revision(1, 8));
}

/// An answer as the store encodes it.
std::string encode_answer(const store_rows& rows)
{
    json list = json::array();
    for (const auto& row : rows.rows) {
        json made = {{"key", row.key}, {"revision", row.revision}};
        if (row.removed)
            made["deleted"] = true;
        else
            made["value"] = websocketpp::base64_encode(row.value);
        list.push_back(std::move(made));
    }
    return json{{"revision", rows.revision}, {"rows", std::move(list)}}.dump();
}

RC_GTEST_PROP(StoreAnswer, AnyBytesOfAValueSurviveTheirEncoding, ())
{
    store_rows rows;
    rows.revision = 1000;
    const auto values = *rc::gen::arbitrary<std::vector<std::string>>();
    for (std::size_t i = 0; i < values.size(); ++i) {
        const bool removed = *rc::gen::arbitrary<bool>();
        rows.rows.push_back({"k" + std::to_string(i), removed ? "" : values[i],
                             i + 1, removed});
    }
    const auto answer = platform::decode_store_answer(encode_answer(rows));
    RC_ASSERT(answer.malformed_rows.empty());
    RC_ASSERT(answer.rows.rows.size() == rows.rows.size());
    for (std::size_t i = 0; i < rows.rows.size(); ++i) {
        RC_ASSERT(answer.rows.rows[i].value == rows.rows[i].value);
        RC_ASSERT(answer.rows.rows[i].removed == rows.rows[i].removed);
    }
}

RC_GTEST_PROP(StoreAnswer, Base64IsReadWholeOrRefused, (std::string bytes))
{
    auto text = websocketpp::base64_encode(bytes);
    RC_ASSERT(platform::decode_base64(text) == bytes);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const char other = *rc::gen::elementOf(std::string("!-_ \n\0=\xff", 8));
    text.insert(at, 1, other);
    const auto read = platform::decode_base64(text);
    // Padding that is too much or too early is none.
    RC_ASSERT(!read || (other == '=' && *read == bytes));
}

} // namespace
