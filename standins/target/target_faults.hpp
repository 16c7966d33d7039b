#ifndef VANILLAPOST_STANDINS_TARGET_TARGET_FAULTS_HPP
#define VANILLAPOST_STANDINS_TARGET_TARGET_FAULTS_HPP

#include <nlohmann/json.hpp>
#include <vanillapost/base.hpp>
#include <variant>

namespace vanillapost::standin {

struct slow_fault
{
    double factor = 10.0;
};

/// Turns cold without a word.
struct cold_fault
{
};

/// Says that it drains, and after `announced` refuses work.
struct drain_fault
{
    duration announced{};
};

/// Answers 500 at once.
struct fail_fast_fault
{
    double share = 1.0;
};

/// Does nothing for a while.
struct freeze_fault
{
    duration length{};
};

/// Reports the load of this moment from now on.
struct stale_load_fault
{
};

/// Breaks off the next answers half way.
struct truncate_fault
{
    int count = 1;
};

/// Answers late, though the work is done.
struct late_fault
{
    duration delay{};
    double share = 1.0;
};

using target_fault =
    std::variant<slow_fault, cold_fault, drain_fault, fail_fast_fault,
                 freeze_fault, stale_load_fault, truncate_fault, late_fault>;

/// \throws field_error  when the command is wrong
target_fault parse_target_fault(const nlohmann::json& command);

} // namespace vanillapost::standin

#endif
