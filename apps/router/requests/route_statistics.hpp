#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_ROUTE_STATISTICS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_ROUTE_STATISTICS_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/routes.hpp"

#include <map>
#include <string>

namespace vanillapost::router {

/// Running means of the duration and size of each route's requests.
class route_statistics
{
public:
    /// Expected time on an idle target at normal speed.
    duration expected_work(const route& rule) const;

    /// Expected size of request and answer together.
    double expected_kib(const route& rule) const;

    /// Estimates how long the caller of a request has already waited for
    /// earlier attempts, and learns from `left`.
    /// \param left  time until the caller's deadline
    duration waited(const route& rule, duration left);

    /// \param work  the time taken, less the part due to the target's load
    void on_answer(const route& rule, duration work, std::size_t bytes);

private:
    struct means
    {
        double work_us;
        double kib;
    };

    std::map<std::string, means> routes_;
    std::map<std::string, caller_wait_estimator> wait_estimators_;
};

} // namespace vanillapost::router

#endif
