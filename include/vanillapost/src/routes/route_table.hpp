#ifndef VANILLAPOST_SRC_ROUTES_ROUTE_TABLE_HPP
#define VANILLAPOST_SRC_ROUTES_ROUTE_TABLE_HPP

#include "configuration.hpp"
#include "key_index.hpp"

#include <functional>
#include <map>
#include <string_view>

namespace vanillapost {

/// Finds the route of a request: the longest prefix among those of its host.
class route_table
{
public:
    route_table() = default;

    /// \throws field_error  when the configuration contradicts itself
    explicit route_table(configuration config);

    /// Routes of the host go before those of any host.
    /// \param host  as the caller sent it; a port and upper case are ignored
    /// \param path  with or without a query
    /// \return null when no route matches
    const route* find(std::string_view host, std::string_view path) const;

    const service_settings* service(const service_id& id) const;

    /// Whether callers need a key on routes that are not public.
    bool needs_keys() const
    {
        return config_.organisations.has_value();
    }

    /// The organisation that holds a key; null if none does.
    const organisation* find_organisation(std::string_view key) const;

    const configuration& config() const
    {
        return config_;
    }

private:
    const route* find_prefix(std::string_view host,
                             std::string_view path) const;

    // Indexes, so that the table can be moved and copied.
    using by_prefix = std::map<std::string, std::size_t, std::less<>>;

    configuration config_;
    std::map<std::string, by_prefix, std::less<>> hosts_;
    std::map<service_id, std::size_t> services_;
    key_index keys_;
};

} // namespace vanillapost

#endif
