#include "vanillapost/src/burn/burn_window.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost {

double burn_window::error_rate() const
{
    if (answers.total == 0)
        return 0;
    const auto bad = static_cast<double>(answers.total - answers.good);
    return bad / static_cast<double>(answers.total);
}

double burn_window::burn_rate(double objective) const
{
    assert(objective < 1);
    return error_rate() / (1 - objective);
}

burn_window merge(std::span<const burn_window> windows)
{
    burn_window sum;
    for (const burn_window& window : windows) {
        assert(sum.length == duration{} || sum.length == window.length);
        sum.length = window.length;
        sum.covered = std::max(sum.covered, window.covered);
        sum.answers.good += window.answers.good;
        sum.answers.total += window.answers.total;
    }
    return sum;
}

std::string_view name_of(burn_severity severity)
{
    switch (severity) {
    case burn_severity::ticket:
        return "ticket";
    case burn_severity::page:
        return "page";
    case burn_severity::none:
        break;
    }
    return "none";
}

} // namespace vanillapost
