#include "vanillapost/src/routes/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace vanillapost {

namespace {

std::string normalized_host(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::ranges::transform(result, result.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return result;
}

} // namespace

route_table::route_table(configuration config) : config_(std::move(config))
{
    check_configuration(config_);
    for (std::size_t i = 0; i < config_.routes.size(); ++i) {
        const auto& rule = config_.routes[i];
        hosts_[normalized_host(rule.host)].emplace(rule.prefix, i);
    }
    for (std::size_t i = 0; i < config_.services.size(); ++i)
        services_.emplace(config_.services[i].id, i);
    if (config_.organisations)
        keys_ = key_index(*config_.organisations);
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    if (const auto* found = find_prefix(normalized_host(host), path))
        return found;
    return find_prefix("", path);
}

const route* route_table::find_prefix(std::string_view host,
                                      std::string_view path) const
{
    const auto rules = hosts_.find(host);
    if (rules == hosts_.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so only cuts after a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto rule = rules->second.find(path.substr(0, end + 1));
        if (rule != rules->second.end())
            return &config_.routes[rule->second];
    }
    return nullptr;
}

const service_settings* route_table::service(const service_id& id) const
{
    const auto found = services_.find(id);
    if (found == services_.end())
        return nullptr;
    return &config_.services[found->second];
}

const organisation* route_table::find_organisation(std::string_view key) const
{
    const auto found = keys_.find(key);
    return found ? &(*config_.organisations)[*found] : nullptr;
}

} // namespace vanillapost
