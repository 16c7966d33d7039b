#ifndef VANILLAPOST_SRC_IO_TARGET_POOL_HPP
#define VANILLAPOST_SRC_IO_TARGET_POOL_HPP

#include "../base/time.hpp"
#include "address.hpp"
#include "event_loop.hpp"
#include "http_message.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillapost::io {

namespace detail {
class target_link;
}

/// First line and headers of a target's answer.
struct target_answer_head
{
    int status = 0;
    header_list headers;
    std::optional<std::uint64_t> length; ///< of the body, if it is told
};

/// Whether what came from a target was an answer.
enum class answer_fault
{
    none,      ///< as far as it came
    malformed, ///< bytes that are no answer
    too_long   ///< it goes on beyond every bound
};

struct target_failure
{
    bool sent = false; ///< a byte of the request may have reached the target
    std::string reason;
    answer_fault fault = answer_fault::none;
    bool refused = false; ///< nothing listens at the target's address
};

/// Receives an answer piece by piece. `on_done` or `on_failure` comes last and
/// once; neither comes after the call was destroyed.
struct target_call_handlers
{
    std::function<void(target_answer_head&&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void()> on_done;
    std::function<void(const target_failure&)> on_failure;
};

/// What is sent, and what the answer must look like.
struct target_call_request
{
    std::string bytes; ///< the whole message
    /// An answer that bears another id belongs to an earlier call: it is
    /// dropped, and the answer to this one still comes behind it. Empty: the
    /// answer bears none.
    std::string id;
    bool head_only = false; ///< the answer has no body
    /// A kept connection is used only if it showed a sign of life within this
    /// time: a request lost on a dead one may have run.
    duration max_silence = duration::max();
    /// Asked once more when a new connection stands: what was wanted when the
    /// call began may not be by then. Empty: it is wanted.
    std::function<bool()> is_wanted;
};

/// A call in flight. Destroying it closes its connection, which is how a
/// target learns that its answer is not wanted.
class target_call
{
public:
    explicit target_call(detail::target_link& link);
    ~target_call();
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;

    /// Stops and resumes reading the answer, for back-pressure.
    void pause();
    void resume();

    /// When the request was written to a connection that stands, if it was.
    std::optional<time_point> out_at() const
    {
        return out_at_;
    }

private:
    friend class detail::target_link;
    detail::target_link* link_;
    std::optional<time_point> out_at_;
};

struct target_pool_settings
{
    std::string id_header; ///< header with the id of a request
    std::size_t max_connections = 32;
    duration connect_timeout = std::chrono::milliseconds(300);
    /// Kept connections are closed after this, or a second before the time
    /// that the target announces.
    duration idle_timeout = std::chrono::seconds(8);
    std::size_t max_header_bytes = 64 * 1024;
};

/// Connections to one target, one call at a time on each. The connection used
/// last is used next.
class target_pool
{
public:
    target_pool(event_loop& loop, address target,
                target_pool_settings settings);
    ~target_pool();
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    /// Handlers are never called before this returns.
    std::unique_ptr<target_call> start(target_call_request request,
                                       target_call_handlers handlers);

    /// Whether a call would go out on a kept connection.
    bool has_idle() const;

    std::size_t open_connections() const;

    /// Connections opened since the start.
    std::uint64_t connections_made() const;

    /// Closes what was idle for too long.
    void sweep(time_point now);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
