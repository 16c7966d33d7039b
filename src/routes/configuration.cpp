#include "vanillapost/src/routes/configuration.hpp"

#include "vanillapost/src/records/field_error.hpp"

#include <cmath>
#include <set>
#include <utility>

namespace vanillapost {

namespace {

bool is_prefix(const std::string& text)
{
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

class configuration_check
{
public:
    explicit configuration_check(const configuration& config) : config_(config)
    {
    }

    std::vector<field_problem> run()
    {
        check_services();
        check_organisations();
        for (const auto& each : config_.routes)
            check_route(each);
        return std::move(problems_);
    }

private:
    void check_services()
    {
        for (const auto& each : config_.services) {
            if (each.id.empty())
                note("services", "\"\"", "a name");
            if (!services_.insert(each.id).second)
                note("services." + each.id.value, "twice", "once");
        }
    }

    void check_organisations()
    {
        if (!config_.organisations)
            return;
        std::set<organisation_id> names;
        std::set<std::string> keys;
        for (const auto& each : *config_.organisations) {
            const std::string field = "organisations." + each.id.value;
            if (each.id.empty() || !names.insert(each.id).second)
                note(field, "empty or twice", "a name of its own");
            for (const auto& key : each.keys)
                if (!keys.insert(key).second)
                    note(field + ".keys", "a key that stands twice",
                         "keys of its own");
        }
    }

    void check_route(const route& rule)
    {
        const std::string field = "routes." + rule.name;
        if (!is_prefix(rule.prefix))
            note(field + ".prefix", rule.prefix,
                 "a path that begins and ends with a slash");
        if (!places_.insert({rule.host, rule.prefix}).second)
            note(field, rule.host + rule.prefix, "one route for a prefix");
        if (rule.max_attempts < 1)
            note(field + ".max_attempts", std::to_string(rule.max_attempts),
                 "at least 1");
        check_parts(rule, field);
    }

    void check_parts(const route& rule, const std::string& field)
    {
        double sum = 0;
        for (const auto& part : rule.parts) {
            if (!services_.contains(part.service))
                note(field + ".service", part.service.value,
                     "a service of this configuration");
            if (!std::isfinite(part.weight) || part.weight < 0)
                note(field + ".weight", std::to_string(part.weight),
                     "0 or more");
            sum += part.weight;
        }
        if (!(sum > 0))
            note(field + ".weight", std::to_string(sum),
                 "at least one part with a weight");
    }

    void note(std::string field, std::string found, std::string expected)
    {
        problems_.push_back(
            {std::move(field), std::move(found), std::move(expected)});
    }

    const configuration& config_;
    std::set<service_id> services_;
    std::set<std::pair<std::string, std::string>> places_;
    std::vector<field_problem> problems_;
};

} // namespace

void check_configuration(const configuration& config)
{
    auto problems = configuration_check(config).run();
    if (!problems.empty())
        throw field_error("check configuration", std::to_string(config.version),
                          std::move(problems));
}

} // namespace vanillapost
