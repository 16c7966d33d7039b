#ifndef VANILLAPOST_SRC_ATTEMPTS_ATTEMPT_OUTCOME_HPP
#define VANILLAPOST_SRC_ATTEMPTS_ATTEMPT_OUTCOME_HPP

#include <string>
#include <variant>

namespace vanillapost {

/// No byte of the request left this instance.
struct attempt_not_sent
{
    std::string reason;
};

/// The target reported that it did not run the request and will not.
struct attempt_refused
{
    int status = 503;
};

/// Another target now has the address; the request did not run.
struct attempt_misdirected
{
};

/// A complete answer with the proof that it is from the target: the request
/// ran.
struct attempt_answered
{
    int status = 200;
};

/// The request was sent, but no usable answer came back: it may have run.
struct attempt_lost
{
    std::string reason;
};

/// How one attempt at a target ended.
using attempt_outcome =
    std::variant<attempt_not_sent, attempt_refused, attempt_misdirected,
                 attempt_answered, attempt_lost>;

/// Whether the request may have run or may still run.
bool may_have_run(const attempt_outcome& outcome);

/// Description for logs, such as "lost: connection reset".
std::string describe(const attempt_outcome& outcome);

} // namespace vanillapost

#endif
