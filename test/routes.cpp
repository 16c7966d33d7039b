#include "vanillapost/routes.hpp"
#include "vanillapost/src/records/field_error.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

using namespace vanillapost;

namespace {

route make_route(const std::string& host, const std::string& prefix,
                 std::vector<route_part> parts = {{{"s"}, 1}})
{
    route made;
    made.name = host + prefix;
    made.host = host;
    made.prefix = prefix;
    made.parts = std::move(parts);
    return made;
}

configuration make_configuration(std::vector<route> routes)
{
    configuration made;
    made.version = 1;
    made.routes = std::move(routes);
    made.services = {{{"s"}, "/health", 10, 1}, {{"t"}, "/health", 10, 1}};
    return made;
}

std::string found(const route_table& table, std::string_view host,
                  std::string_view path)
{
    const auto* rule = table.find(host, path);
    return rule ? rule->name : "";
}

TEST(Routes, LongestPrefixOfTheHostWins)
{
    const route_table table(
        make_configuration({make_route("a", "/x/"), make_route("a", "/x/y/"),
                            make_route("b", "/")}));
    EXPECT_EQ(found(table, "a", "/x/1"), "a/x/");
    EXPECT_EQ(found(table, "a", "/x/y/1"), "a/x/y/");
    EXPECT_EQ(found(table, "a", "/x/y"), "a/x/");
    EXPECT_EQ(found(table, "a", "/z/1"), "");
    EXPECT_EQ(found(table, "b", "/z/1"), "b/");
    EXPECT_EQ(found(table, "c", "/x/1"), "");
}

TEST(Routes, QueryPortAndUpperCaseOfTheHostDoNotMatter)
{
    const route_table table(make_configuration({make_route("a.b", "/x/")}));
    EXPECT_EQ(found(table, "A.b:8080", "/x/?q=/y/"), "a.b/x/");
    EXPECT_EQ(found(table, "a.b", "/?q=/x/"), "");
}

RC_GTEST_PROP(Routes, FindsWhatASearchOverAllRoutesFinds, ())
{
    const auto segment = rc::gen::element<std::string>("a", "b", "c");
    const auto path = rc::gen::container<std::vector<std::string>>(segment);
    std::map<std::string, route> routes;
    for (const auto& parts :
         *rc::gen::container<std::vector<std::vector<std::string>>>(path)) {
        std::string prefix = "/";
        for (const auto& part : parts)
            prefix += part + "/";
        routes.emplace(prefix, make_route("h", prefix));
    }
    std::vector<route> list;
    for (const auto& [prefix, rule] : routes)
        list.push_back(rule);
    const route_table table(make_configuration(list));
    std::string asked = "/";
    for (const auto& part : *path)
        asked += part + "/";
    asked += "end";
    std::string best;
    for (const auto& [prefix, rule] : routes)
        if (asked.starts_with(prefix) && prefix.size() >= best.size())
            best = prefix;
    const auto* rule = table.find("h", asked);
    RC_ASSERT((rule ? rule->prefix : "") == best);
}

TEST(Routes, ContradictionsAreNamed)
{
    auto twice =
        make_configuration({make_route("a", "/"), make_route("a", "/")});
    EXPECT_THROW(route_table{twice}, field_error);
    auto unknown = make_configuration({make_route("a", "/", {{{"u"}, 1}})});
    try {
        check_configuration(unknown);
        FAIL() << "an unknown service was accepted";
    } catch (const field_error& failure) {
        ASSERT_EQ(failure.problems().size(), 1u);
        EXPECT_EQ(failure.problems()[0].found, "u");
    }
    auto weightless = make_configuration({make_route("a", "/", {{{"s"}, 0}})});
    EXPECT_THROW(check_configuration(weightless), field_error);
    auto open = make_configuration({make_route("a", "/x")});
    EXPECT_THROW(check_configuration(open), field_error);
}

RC_GTEST_PROP(Routes, PartsGetTheirWeights, ())
{
    const int heavy = *rc::gen::inRange(1, 20);
    const int light = *rc::gen::inRange(1, 20);
    const auto rule =
        make_route("a", "/", {{{"s"}, double(heavy)}, {{"t"}, double(light)}});
    part_picker picker;
    const int rounds = *rc::gen::inRange(1, 200);
    int first = 0;
    for (int i = 0; i < rounds; ++i)
        first += picker.pick(rule).value == "s";
    const double share = double(heavy) / (heavy + light);
    RC_ASSERT(std::abs(first - rounds * share) <= 1.0);
}

TEST(Routes, ChangedWeightsStartAnew)
{
    part_picker picker;
    auto rule = make_route("a", "/", {{{"s"}, 1}, {{"t"}, 1}});
    picker.pick(rule);
    rule.parts = {{{"s"}, 0}, {{"t"}, 1}};
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(picker.pick(rule).value, "t");
}

organisation make_organisation(const std::string& name,
                               std::vector<std::string> keys)
{
    organisation made;
    made.id.value = name;
    made.keys = std::move(keys);
    return made;
}

TEST(Routes, AKeyFindsItsOrganisation)
{
    auto config = make_configuration({make_route("a", "/x/")});
    config.organisations = {make_organisation("one", {"k1", "k2"}),
                            make_organisation("two", {"k3"}),
                            make_organisation("none", {})};
    const route_table table(config);
    EXPECT_TRUE(table.needs_keys());
    ASSERT_TRUE(table.find_organisation("k2"));
    EXPECT_EQ(table.find_organisation("k2")->id.value, "one");
    EXPECT_EQ(table.find_organisation("k3")->id.value, "two");
    for (const auto* unknown : {"", "k", "k11", "K1", "k4"})
        EXPECT_FALSE(table.find_organisation(unknown)) << unknown;
}

TEST(Routes, WithoutOrganisationsCallersNeedNoKey)
{
    const route_table table(make_configuration({make_route("a", "/x/")}));
    EXPECT_FALSE(table.needs_keys());
    EXPECT_FALSE(table.find_organisation("k"));
}

TEST(Routes, OrganisationsThatShareAKeyAreRefused)
{
    auto config = make_configuration({make_route("a", "/x/")});
    config.organisations = {make_organisation("one", {"k1"}),
                            make_organisation("two", {"k1"})};
    EXPECT_THROW(check_configuration(config), field_error);
    config.organisations = {make_organisation("one", {"k1"}),
                            make_organisation("one", {"k2"})};
    EXPECT_THROW(check_configuration(config), field_error);
}

TEST(Routes, ABearerTokenIsTheWordBehindItsScheme)
{
    EXPECT_EQ(parse_bearer_token("Bearer k1"), "k1");
    EXPECT_EQ(parse_bearer_token("bearer  k1 "), "k1");
    for (const auto* header : {"", "Bearer", "Bearer ", "Basic k1", "Bearerk1"})
        EXPECT_FALSE(parse_bearer_token(header)) << header;
}

RC_GTEST_PROP(Routes, OnlyWholeKeysAreFound,
              (std::set<std::string> keys, std::string other))
{
    const auto one = make_organisation("o", {keys.begin(), keys.end()});
    const key_index index({&one, 1});
    RC_ASSERT(index.find(other).has_value() == keys.contains(other));
    for (const auto& key : keys)
        RC_ASSERT(index.find(key) == 0u);
}

} // namespace
