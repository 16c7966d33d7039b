#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_ROUTE_STATISTICS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_ROUTE_STATISTICS_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/routes.hpp"

#include <map>
#include <string>

namespace vanillapost::router {

/// What requests of a route usually take.
class route_statistics
{
public:
    /// Time on an idle target at the usual pace.
    duration expected_work(const route& rule) const;

    /// Size of request and answer together.
    double expected_kib(const route& rule) const;

    /// How long the caller of a request with that time left has waited for
    /// earlier attempts.
    duration waited(const route& rule, duration left);

    /// \param work  the time taken, without what the target's load explains
    void on_answer(const route& rule, duration work, std::size_t bytes);

private:
    struct means
    {
        double work_us;
        double kib;
    };

    std::map<std::string, means> routes_;
    std::map<std::string, caller_patience> patience_;
};

} // namespace vanillapost::router

#endif
