#include "vanillapost/src/io/detail/body_budget.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillapost::io::detail {

body_budget::lease::lease(lease&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), bytes_(other.bytes_)
{
}

body_budget::lease& body_budget::lease::operator=(lease&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    budget_ = std::exchange(other.budget_, nullptr);
    bytes_ = other.bytes_;
    return *this;
}

body_budget::lease::~lease()
{
    release();
}

void body_budget::lease::release()
{
    auto* budget = std::exchange(budget_, nullptr);
    if (!budget)
        return;
    assert(budget->reserved_ >= bytes_);
    budget->reserved_ -= bytes_;
    budget->grant_waiting();
}

std::optional<body_budget::lease> body_budget::reserve(std::size_t bytes)
{
    if (!waiters_.empty() || !has_room(bytes))
        return std::nullopt;
    return take(bytes);
}

void body_budget::wait(const void* who, std::size_t bytes,
                       grant_handler granted)
{
    assert(!is_waiting(who));
    waiters_.push_back({who, bytes, std::move(granted)});
}

// Those behind it may have room now.
void body_budget::cancel(const void* who)
{
    if (std::erase_if(waiters_,
                      [&](const auto& each) { return each.who == who; }) > 0)
        grant_waiting();
}

bool body_budget::is_waiting(const void* who) const
{
    return std::ranges::find(waiters_, who, &waiter::who) != waiters_.end();
}

bool body_budget::has_room(std::size_t bytes) const
{
    return reserved_ == 0 ||
           (reserved_ <= bytes_ && bytes <= bytes_ - reserved_);
}

body_budget::lease body_budget::take(std::size_t bytes)
{
    reserved_ += bytes;
    return {*this, bytes};
}

void body_budget::grant_waiting()
{
    while (!waiters_.empty() && has_room(waiters_.front().bytes)) {
        auto first = std::move(waiters_.front());
        waiters_.pop_front();
        first.granted(take(first.bytes));
    }
}

} // namespace vanillapost::io::detail
