#ifndef VANILLAPOST_SRC_IO_DETAIL_CONNECTION_END_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CONNECTION_END_HPP

#include <cstddef>

namespace vanillapost::io::detail {

/// What a server does with its connections.
enum class server_phase
{
    serving, ///< they stay open
    leaving, ///< callers are told with their answers to go elsewhere
    closing  ///< no more are accepted, and none stays open without a request
};

/// What a connection holds at the moment its end is decided on.
struct connection_load
{
    std::size_t unanswered = 0; ///< requests taken, without their whole answer
    bool newest_begun = false;  ///< the head of the newest one's answer is made
    bool reading = false;       ///< a part of a further request has come
};

/// The end of one connection of a caller: which request is the last one taken,
/// and how far its end has come.
///
///     open -> last_taken -> shut_down -> ended
///
/// A server that leaves answers every request that a connection has taken, and
/// the answer to the last of these says `Connection: close`. What comes behind
/// that is not taken, so that it is never worked on and then cut: by HTTP/1.1
/// its caller may send it again elsewhere, whatever its method.
///
/// The last request is chosen at the first answer that begins while the server
/// leaves, so that a pipeline without a pause ends too; a request that is being
/// read then is taken as well. Without such an answer it is chosen once the
/// server closes. An answer that has begun says nothing any more: if the newest
/// one has, the next request that comes is the last.
class connection_end
{
public:
    /// Whether requests are still taken from the connection.
    bool takes_requests() const
    {
        return stage_ == stage::open;
    }

    bool is_shut_down() const
    {
        return stage_ == stage::shut_down;
    }

    bool has_ended() const
    {
        return stage_ == stage::ended;
    }

    /// To be called before the head of an answer is made.
    /// \return whether the newest request has become the last one
    bool on_answer_begins(server_phase phase, const connection_load& load);

    /// To be called when a request was taken.
    /// \return whether it has become the last one
    bool on_request_taken(server_phase phase, const connection_load& load);

    /// To be called when the server closes.
    /// \return whether the newest request has become the last one
    bool on_server_closing(const connection_load& load);

    /// Takes nothing further for another reason: the caller asked for the end,
    /// sent what is no request, or its answer could not be completed.
    void take_no_more();

    /// Our side is shut down: no answer can be sent any more.
    void shut_down();

    /// \return false if it had ended before
    bool end();

private:
    enum class stage
    {
        open,
        last_taken,
        shut_down,
        ended
    };

    bool choose_last(const connection_load& load);

    stage stage_ = stage::open;
    bool wanted_ = false; ///< an answer has begun while the server leaves
};

} // namespace vanillapost::io::detail

#endif
