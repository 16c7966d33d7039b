#ifndef VANILLAPOST_SRC_IO_DETAIL_BODY_BUDGET_HPP
#define VANILLAPOST_SRC_IO_DETAIL_BODY_BUDGET_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

namespace vanillapost::io::detail {

/// Bound on the bytes of all large bodies that a server holds at a time.
///
/// A body reserves its whole length before it is read on, so those that are
/// being read never wait for each other. What finds no room waits in the order
/// of arrival. A body that is larger than the bound is let in alone.
class body_budget
{
public:
    /// Reserved bytes; they are free again when it is destroyed.
    class lease
    {
    public:
        lease(body_budget& budget, std::size_t bytes)
            : budget_(&budget), bytes_(bytes)
        {
        }
        lease(lease&& other) noexcept;
        lease& operator=(lease&& other) noexcept;
        ~lease();

    private:
        void release();

        body_budget* budget_; ///< null once it was moved from
        std::size_t bytes_;
    };

    using grant_handler = std::function<void(lease)>;

    explicit body_budget(std::size_t bytes) : bytes_(bytes)
    {
    }

    void set_bytes(std::size_t bytes)
    {
        bytes_ = bytes;
    }

    /// Reserves room, if there is some and nobody waits for it.
    std::optional<lease> reserve(std::size_t bytes);

    /// Waits for room.
    /// \param who      for `cancel`; waits once at a time
    /// \param granted  called when a lease ends; must not end another one
    void wait(const void* who, std::size_t bytes, grant_handler granted);

    void cancel(const void* who);

    bool is_waiting(const void* who) const;

    std::size_t reserved() const
    {
        return reserved_;
    }

private:
    struct waiter
    {
        const void* who;
        std::size_t bytes;
        grant_handler granted;
    };

    bool has_room(std::size_t bytes) const;
    lease take(std::size_t bytes);
    void grant_waiting();

    std::size_t bytes_;
    std::size_t reserved_ = 0;
    std::deque<waiter> waiters_;
};

} // namespace vanillapost::io::detail

#endif
