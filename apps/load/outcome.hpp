#ifndef VANILLAPOST_APPS_LOAD_OUTCOME_HPP
#define VANILLAPOST_APPS_LOAD_OUTCOME_HPP

#include <string>
#include <string_view>
#include <vanillapost/base.hpp>
#include <vanillapost/io.hpp>

namespace vanillapost::load {

/// How a call ended, as its caller sees it.
enum class outcome
{
    ok,           ///< the whole answer to this request
    refused,      ///< a refusal that says that the request did not run
    maybe,        ///< a failure that leaves open whether it ran
    failed,       ///< any other answer that is not a success
    unreachable,  ///< no address took the connection
    truncated,    ///< the answer broke off
    wrong_answer, ///< a success with other bytes than asked for
};

inline constexpr std::size_t outcome_count = 7;

std::string_view to_string(outcome value);

/// A call with its final answer.
struct finished_call
{
    std::string service;
    outcome result = outcome::failed;
    duration latency{}; ///< from the intended start
    bool in_time = false;
    std::size_t phase = 0;
    std::size_t second = 0;
};

/// What an answer that is no success means.
/// \param not_run  whether a target said that the request did not run
outcome outcome_of_refusal(std::string_view body, bool not_run);

outcome outcome_of_failure(const io::call_failure& failure);

/// How long the answer asks to wait before the next try; 0 when it does not.
duration retry_after(std::string_view body);

} // namespace vanillapost::load

#endif
