#ifndef VANILLAPOST_SRC_IO_CLIENT_LEDGER_HPP
#define VANILLAPOST_SRC_IO_CLIENT_LEDGER_HPP

#include "../base/time.hpp"
#include "detail/connection_pressure.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace vanillapost::io {

class client_ledger;

/// What all connections of clients may hold together.
struct client_bounds
{
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

namespace detail {

/// A connection in the ledger.
class ledger_member
{
public:
    ledger_member() = default;
    ledger_member(const ledger_member&) = delete;
    ledger_member& operator=(const ledger_member&) = delete;
    virtual ~ledger_member() = default;

    virtual client_hold hold() const = 0;

    /// Ends it at once, and leaves the ledger.
    virtual void close_for_room() = 0;

private:
    friend class io::client_ledger;
    std::size_t bytes_ = 0; ///< as last noted
    std::size_t index_ = 0;
};

} // namespace detail

/// Counts what all connections of clients hold, of all servers of a process,
/// and closes some of them before it is more than the process may hold.
///
/// Bodies with room of their own in a `body_budget` are not counted.
class client_ledger
{
public:
    using member = detail::ledger_member;

    void set_bounds(const client_bounds& bounds)
    {
        bounds_ = bounds;
    }

    void add(member& added);
    void remove(member& removed);

    /// Notes what a connection holds now.
    void note(member& noted, std::size_t bytes);

    /// Closes others than `asking` until a share of the bytes is free. To be
    /// called before more is read, with nothing of a server on the stack.
    /// \return whether no more than the bound is held now
    bool make_room(const member& asking, time_point now);

    /// As above, for answers: any may be closed.
    void make_room(time_point now);

    /// Closes a connection if there are too many for one more.
    /// \return whether one more can be taken
    bool make_place(time_point now);

    /// Whether so much is held that only what was begun should be read on.
    bool is_tight() const;

    bool is_full() const
    {
        return members_.size() >= bounds_.connections;
    }

    /// Whether more were taken than there are places.
    bool is_over() const
    {
        return members_.size() > bounds_.connections;
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

    std::size_t connections() const
    {
        return members_.size();
    }

    /// Connections that were closed for bytes, since the start.
    std::uint64_t closed_for_bytes() const
    {
        return closed_for_bytes_;
    }

    /// Connections that were closed or not taken for others, since the start.
    std::uint64_t closed_for_place() const
    {
        return closed_for_place_;
    }

private:
    void close_some(std::vector<detail::client_hold> holds, time_point now);
    std::vector<detail::client_hold> holds() const;
    bool has(const member* which) const;

    client_bounds bounds_;
    std::vector<member*> members_;
    std::size_t bytes_ = 0;
    std::uint64_t closed_for_bytes_ = 0;
    std::uint64_t closed_for_place_ = 0;
};

} // namespace vanillapost::io

#endif
