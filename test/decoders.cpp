// Arbitrary and mutated bytes at each decoder of untrusted text: it either
// reads them or throws vanillapost::error, and nothing else.
#include "vanillapost/base.hpp"
#include "vanillapost/exposition.hpp"
#include "vanillapost/idempotency.hpp"
#include "vanillapost/operations.hpp"
#include "vanillapost/records.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;

namespace {

const std::string good_target =
    R"({"schema":2,"kind":"target","name":"t","service":"s","data_centre":"a",
        "address":"127.0.0.1:1","slots":3,"cold_slots":1,"state":"in"})";
const std::string good_service =
    R"({"schema":2,"kind":"service","name":"s","class":"lookup","limit":3,
        "availability":0.99,"deadline_ms":500,"latency_ms":50})";
const std::string good_route =
    R"({"schema":2,"kind":"route","name":"r","host":"h","prefix":"/a/",
        "parts":[{"service":"s","weight":1},{"service":"t","weight":0.5}],
        "class":"lookup","timeout_ms":500,"attempts":2,"priority":1})";
const std::string good_metrics =
    "# TYPE vanillapost_requests_total counter\n"
    "vanillapost_requests_total{service=\"a\\\"b\",result=\"good\"} 12\n"
    "vanillapost_requests_total{service=\"s\",result=\"slow\"} 1e3 1700\n"
    "up +Inf\n";

/// Bytes that decoders treat in a special way, and any others.
rc::Gen<char> any_byte()
{
    return rc::gen::weightedOneOf<char>(
        {{3,
          rc::gen::elementOf(std::string("{}[]\",:\\\n\0 =#-+.e0u\xff", 20))},
         {2, rc::gen::arbitrary<char>()}});
}

std::string any_bytes()
{
    return *rc::gen::container<std::string>(any_byte());
}

/// A good text with some bytes replaced, inserted, removed or doubled.
std::string mutated(std::string text)
{
    const int mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 8);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *any_byte();
            break;
        case 1:
            text.insert(at, any_bytes());
            break;
        case 2:
            text.erase(at, length);
            break;
        default:
            text.insert(at, text.substr(at, length * length));
        }
    }
    return text;
}

/// Whether the decoder reads the text; any other exception fails the test.
bool reads(const std::function<void()>& decode)
{
    try {
        decode();
        return true;
    } catch (const error&) {
        return false;
    }
}

std::string some_text(const std::string& good)
{
    return *rc::gen::arbitrary<bool>() ? any_bytes() : mutated(good);
}

} // namespace

RC_GTEST_PROP(decoders, record_is_read_or_refused, ())
{
    const auto text =
        some_text(*rc::gen::element(good_target, good_service, good_route));
    std::optional<record> parsed;
    if (reads([&] { parsed = parse_record(text, "test"); })) {
        RC_ASSERT(parse_record(to_json(*parsed).dump(), "test") == *parsed);
    }
}

RC_GTEST_PROP(decoders, record_row_leaves_the_last_good_record, ())
{
    record_set records;
    records.apply({"records/target/t", 1, good_target});
    const auto result =
        records.apply({"records/target/t", 2, some_text(good_target)});
    RC_ASSERT(records.find(target_id{"t"}) != nullptr);
    if (result == apply_result::refused)
        RC_ASSERT(records.find(target_id{"t"})->slots == 3);
}

RC_GTEST_PROP(decoders, json_stays_within_depth, ())
{
    const auto depth = *rc::gen::inRange(1, 3 * max_json_depth);
    const std::string open = *rc::gen::element<std::string>("[", "{\"a\":");
    const std::string close = open == "[" ? "]" : "}";
    std::string text = "1";
    for (int i = 0; i < depth; ++i)
        text = open + text + close;
    const bool read =
        reads([&] { parse_bounded_json(text, text.size(), "test", "test"); });
    RC_ASSERT(read == (depth <= max_json_depth));
    RC_ASSERT(!reads(
        [&] { parse_bounded_json(text, text.size() - 1, "test", "test"); }));
}

RC_GTEST_PROP(decoders, difference_takes_any_texts, ())
{
    const auto before = some_text(good_target);
    RC_ASSERT(record_difference(before, before).empty());
    record_difference(before, some_text(good_target));
}

RC_GTEST_PROP(decoders, durations_survive_their_encoding, ())
{
    const std::chrono::milliseconds time(*rc::gen::inRange(0, 1'000'000'000));
    RC_ASSERT(parse_duration(format_duration(time)) == duration(time));
    const auto any = *rc::gen::arbitrary<std::string>();
    const auto read = parse_duration(any + "ms");
    RC_ASSERT(!read || *read >= duration::zero());
}

RC_GTEST_PROP(decoders, metrics_are_read_or_refused, ())
{
    const auto text = some_text(good_metrics);
    reads([&] { count_answers(parse_metrics_text(text, "test")); });
}

TEST(decoders, metrics_are_counted)
{
    const auto samples = parse_metrics_text(good_metrics, "test");
    ASSERT_EQ(samples.size(), 3u);
    const auto counts = count_answers(samples);
    EXPECT_EQ(counts.at({"a\"b"}), (answer_count{12, 12}));
    EXPECT_EQ(counts.at({"s"}), (answer_count{0, 1000}));
}

// The report is JSON, which no such name can be written into.
TEST(decoders, a_service_that_is_no_utf8_is_not_counted)
{
    const auto counts = count_answers(
        parse_metrics_text("vanillapost_requests_total{service=\"\xc1\"} 12\n"
                           "vanillapost_requests_total{service=\"s\"} 1\n",
                           "test"));
    EXPECT_EQ(counts.size(), 1u);
}

TEST(decoders, metrics_may_break_off_anywhere)
{
    for (std::size_t length = 0; length < good_metrics.size(); ++length) {
        // A string of its own, so that a read past its end is one.
        const auto text = good_metrics.substr(0, length);
        reads([&] { parse_metrics_text(text, "test"); });
    }
}

TEST(decoders, metrics_are_bounded)
{
    const metrics_text_limits limits{
        .max_bytes = 100, .max_samples = 2, .max_labels = 1};
    const auto parse = [&](std::string_view text) {
        return reads([&] { parse_metrics_text(text, "test", limits); });
    };
    EXPECT_TRUE(parse("a 1\nb 2\n"));
    EXPECT_FALSE(parse("a 1\nb 2\nc 3\n"));
    EXPECT_FALSE(parse("a{x=\"1\",y=\"2\"} 1\n"));
    EXPECT_FALSE(parse(std::string(101, '#')));
}

RC_GTEST_PROP(decoders, claim_is_read_or_refused, ())
{
    claim_row row{.key = "k",
                  .request_digest = "d",
                  .claimant = {{"a"}, "1"},
                  .state = claim_state::done,
                  .outcome = {},
                  .expires_unix_ms = 5};
    row.outcome = {201, {{"Location", "/x"}}, "body", true};
    const auto text = some_text(to_text(row));
    std::optional<claim_row> parsed;
    if (reads([&] { parsed = parse_claim(text, "test"); }))
        RC_ASSERT(!to_text(*parsed).empty());
}
