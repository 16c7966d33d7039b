#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/address.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"
#include "vanillapost/src/io/detail/platform_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using nlohmann::json;

std::string to_bytes(const json& value)
{
    auto bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

/// Runs a decoder; anything but a value or an `error` fails the test.
template <class Decode>
bool accepts(Decode decode)
{
    try {
        decode();
        return true;
    } catch (const error&) {
        return false;
    }
}

/// Changes, drops or repeats a few bytes.
std::string mutate(std::string bytes)
{
    auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
        auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            bytes[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            bytes.erase(at, 1 + *rc::gen::inRange(0, 8));
            break;
        default:
            bytes.insert(at, bytes.substr(at, 4));
        }
    }
    return bytes;
}

RC_GTEST_PROP(DecoderFuzz, AddressRoundTripsOrIsRefused, ())
{
    address from{"127.0.0.1", *rc::gen::arbitrary<std::uint16_t>()};
    if (*rc::gen::arbitrary<bool>())
        from.ip = "fe80::1";
    auto text = to_string(from);
    RC_ASSERT(parse_address(text) == from);
    auto bad = mutate(text);
    if (accepts([&] { parse_address(bad); })) {
        auto parsed = parse_address(bad);
        RC_ASSERT(parse_address(to_string(parsed)) == parsed);
    }
    auto any = *rc::gen::arbitrary<std::string>();
    accepts([&] { parse_address(any); });
}

TEST(Decoder, AddressRefusesWhatIsNone)
{
    using namespace std::string_literals;
    for (const auto& text :
         {""s, ":"s, "1.2.3.4"s, "1.2.3.4:"s, "1.2.3.4:65536"s, "1.2.3.4:-1"s,
          "1.2.3.4: 1"s, "host:80"s, "::1:80"s, "[::1]"s, "[1.2.3.4]:1"s,
          "1.2.3.4\0:1"s, std::string(1000, '1') + ":1"})
        EXPECT_THROW(parse_address(text), error) << text;
}

RC_GTEST_PROP(DecoderFuzz, MessagesAreMapsOrRefused, ())
{
    json message{{"t", "status"},
                 {"n", *rc::gen::arbitrary<int>()},
                 {"list", {1, 2.5, nullptr, true, "text", {{"a", "b"}}}}};
    auto bytes = to_bytes(message);
    RC_ASSERT(detail::parse_message(bytes) == message);
    auto bad = mutate(bytes);
    if (accepts([&] { detail::parse_message(bad); })) {
        auto parsed = detail::parse_message(bad);
        RC_ASSERT(parsed.is_object());
        parsed.dump();
    }
    auto any = *rc::gen::arbitrary<std::string>();
    accepts([&] { detail::parse_message(any); });
}

TEST(Decoder, DeepNestingIsRefusedWithoutRecursion)
{
    // One within the other, far deeper than the stack.
    constexpr std::size_t depth = 1024 * 1024;
    for (std::string opener : {"\x81", "\x9f",
                               "\xa1\x61"
                               "a"}) {
        std::string bytes = "\xa1\x61"
                            "a";
        for (std::size_t i = 0; i < depth; ++i)
            bytes += opener;
        EXPECT_THROW(detail::parse_message(bytes), error);
    }
    json fits = "x";
    for (std::size_t i = 1; i < detail::max_message_depth; ++i)
        fits = json::array({fits});
    EXPECT_NO_THROW(detail::parse_message(to_bytes({{"t", fits}})));
    fits = json::array({fits});
    EXPECT_THROW(detail::parse_message(to_bytes({{"t", fits}})), error);
}

TEST(Decoder, MessageTextsMustBeUtf8)
{
    EXPECT_THROW(detail::parse_message("\xa1\x61t\x61\xff"), error);
    EXPECT_THROW(detail::parse_message("\xa1\x61\xff\x61t"), error);
    EXPECT_NO_THROW(detail::parse_message("\xa1\x61t\x62\xc3\xa9"));
}

// The library reads pieces of a text within each other.
TEST(Decoder, PiecesWithinPiecesOfATextAreBounded)
{
    for (const char opener : {'\x7f', '\x5f'}) {
        const auto bytes = "\xa1\x61\x61" + std::string(65'000, opener);
        EXPECT_THROW(detail::parse_message(bytes), error);
    }
}

// One row that cannot be read held up all rows, for as long as it stood.
TEST(Decoder, ASpoiltRowLeavesTheOthersOfItsAnswer)
{
    for (const std::string row :
         {R"({"key":"p/bad","revision":7,"value":5})",
          R"({"key":"p/bad","revision":-1,"value":"v"})",
          R"({"key":"p/bad","revision":1e300,"value":"v"})",
          R"({"key":"p/bad","value":"v"})"}) {
        const auto changes = detail::parse_changes(
            R"({"latest":9,"rows":[)" + row +
            R"(,{"key":"p/good","revision":8,"value":"v"}]})");
        ASSERT_EQ(changes.rows.size(), 2u) << row;
        EXPECT_EQ(changes.rows[0].key, "p/bad");
        EXPECT_EQ(changes.rows[0].value, "") << row;
        EXPECT_EQ(changes.rows[1].value, "v");
        ASSERT_EQ(changes.malformed_rows.size(), 1u) << row;
        EXPECT_EQ(changes.malformed_rows[0].key, "p/bad");
    }
    const auto newer = detail::parse_changes(
        R"({"latest":9,"rows":[{"key":"k","revision":10,"value":"v"}]})");
    EXPECT_EQ(newer.rows.at(0).at, 9u);
    EXPECT_EQ(newer.rows.at(0).value, "v");
    for (const std::string row : {R"({"revision":7,"value":"v"})", "7",
                                  R"({"key":"a\nb","revision":7})"}) {
        const auto changes =
            detail::parse_changes(R"({"latest":9,"rows":[)" + row + "]}");
        EXPECT_TRUE(changes.rows.empty()) << row;
        EXPECT_EQ(changes.malformed_rows.size(), 1u) << row;
    }
}

template <class Decode>
void fuzz_json(const std::string& good, Decode decode)
{
    RC_ASSERT(accepts([&] { decode(good); }));
    auto bad = mutate(good);
    accepts([&] { decode(bad); });
    auto any = *rc::gen::arbitrary<std::string>();
    accepts([&] { decode(any); });
}

RC_GTEST_PROP(DecoderFuzz, PlatformAnswersAreWholeOrRefused, ())
{
    const std::string row =
        R"({"key":"k","revision":7,"write_id":"w","value":"v"})";
    fuzz_json(row, detail::parse_row);
    fuzz_json(R"({"latest":9,"rows":[)" + row + "]}", detail::parse_changes);
    fuzz_json(R"({"revision":9})", detail::parse_transaction_done);
    fuzz_json(R"({"conflicts":[)" + row + "]}",
              detail::parse_transaction_conflict);
}

TEST(Decoder, DeepPlatformAnswersAreRefused)
{
    std::string deep(100'000, '[');
    EXPECT_THROW(detail::parse_row(deep), error);
    deep += std::string(100'000, ']');
    EXPECT_THROW(detail::parse_row(deep), error);
}

TEST(Decoder, PlatformNumbersMustBeWholeAndNotNegative)
{
    for (auto text : {"-1", "1.5", "\"1\"", "null", "1e400"})
        EXPECT_THROW(detail::parse_transaction_done(
                         std::string("{\"revision\":") + text + "}"),
                     error)
            << text;
}

} // namespace
