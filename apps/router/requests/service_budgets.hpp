#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_SERVICE_BUDGETS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_SERVICE_BUDGETS_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/base.hpp"

#include <map>

namespace vanillapost::router {

/// Creates and keeps the repeat budget of each service.
class service_budgets
{
public:
    service_budgets(const retry_budget_settings& settings, time_point start)
        : settings_(settings), start_(start)
    {
    }

    retry_budget& of(const service_id& service)
    {
        const auto found = budgets_.try_emplace(service, settings_, start_);
        found.first->second.set_members(members_);
        return found.first->second;
    }

    void set_members(std::size_t members)
    {
        members_ = members;
    }

private:
    retry_budget_settings settings_;
    time_point start_;
    std::size_t members_ = 1;
    std::map<service_id, retry_budget> budgets_;
};

} // namespace vanillapost::router

#endif
