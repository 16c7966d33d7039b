#ifndef VANILLAPOST_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP
#define VANILLAPOST_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vanillapost/base.hpp>

namespace vanillapost::standin {

/// The faults that are in force on the platform; several may be at once.
struct platform_faults
{
    bool down = false;
    bool silent = false;       ///< while down: no answer in place of 503
    duration delay{};          ///< half of it before the effect on average
    duration jitter{};         ///< added to the delay, from 0 up to this
    double lose_answers = 0.0; ///< share of writes whose answer is lost
    std::string lose_prefix;   ///< only writes of keys that start like this
    int lose_count = -1;       ///< how many answers; -1: no bound
    std::set<std::string> cut; ///< clients that get no answer
};

/// Adds the fault that a command describes.
/// \throws field_error  when the command is wrong
void add_fault(platform_faults& faults, const nlohmann::json& command);

} // namespace vanillapost::standin

#endif
