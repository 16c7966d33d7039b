#include "vanillapost/src/retry/retry_budget.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost {

retry_budget::retry_budget(const retry_budget_settings& settings)
    : settings_(settings)
{
    assert(settings.share >= 0 && settings.largest >= 1);
}

void retry_budget::on_success()
{
    tokens_ = std::min(settings_.largest, tokens_ + settings_.share);
}

bool retry_budget::try_spend()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void retry_budget::refund()
{
    tokens_ = std::min(settings_.largest, tokens_ + 1);
}

} // namespace vanillapost
