#include "vanillapost/src/attempts/attempt_outcome.hpp"

namespace vanillapost {

namespace {

struct describer
{
    std::string operator()(const attempt_not_sent& end) const
    {
        return "not sent: " + end.reason;
    }

    std::string operator()(const attempt_refused& end) const
    {
        return "refused, did not run: " + std::to_string(end.status);
    }

    std::string operator()(const attempt_misdirected&) const
    {
        return "another target has the address";
    }

    std::string operator()(const attempt_answered& end) const
    {
        return "answered: " + std::to_string(end.status);
    }

    std::string operator()(const attempt_lost& end) const
    {
        return "lost: " + end.reason;
    }
};

} // namespace

bool may_have_run(const attempt_outcome& outcome)
{
    return std::holds_alternative<attempt_answered>(outcome) ||
           std::holds_alternative<attempt_lost>(outcome);
}

std::string describe(const attempt_outcome& outcome)
{
    return std::visit(describer{}, outcome);
}

} // namespace vanillapost
