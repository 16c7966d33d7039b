#ifndef VANILLAPOST_APPS_ROUTER_ROUTE_STATISTICS_HPP
#define VANILLAPOST_APPS_ROUTER_ROUTE_STATISTICS_HPP

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

    /// \param work  the time taken, without what the target's load explains
    void on_answer(const route& rule, duration work, std::size_t bytes);

private:
    struct means
    {
        double work_us;
        double kib;
    };

    std::map<std::string, means> routes_;
};

} // namespace vanillapost::router

#endif
