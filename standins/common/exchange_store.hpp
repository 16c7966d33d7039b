#ifndef VANILLAPOST_STANDINS_COMMON_EXCHANGE_STORE_HPP
#define VANILLAPOST_STANDINS_COMMON_EXCHANGE_STORE_HPP

#include <vanillapost/io.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace vanillapost::standin {

/// Keeps requests that are to be answered later. A request whose caller goes
/// away is dropped.
class exchange_store
{
public:
    using exchange_ptr = std::unique_ptr<io::server_exchange>;

    explicit exchange_store(io::event_loop& loop) : loop_(loop)
    {
    }

    std::uint64_t add(exchange_ptr exchange)
    {
        const auto id = ++last_id_;
        exchange->on_abort([this, id] { drop_gone(id); });
        kept_.emplace(id, kept{std::move(exchange), {}});
        return id;
    }

    /// Calls `gone` when the caller goes away before `take` or `drop`.
    void on_gone(std::uint64_t id, std::function<void()> gone)
    {
        kept_.at(id).gone = std::move(gone);
    }

    /// The request, or null when its caller has gone.
    exchange_ptr take(std::uint64_t id)
    {
        const auto found = kept_.find(id);
        if (found == kept_.end())
            return nullptr;
        auto exchange = std::move(found->second.exchange);
        kept_.erase(found);
        return exchange;
    }

    io::server_exchange* find(std::uint64_t id)
    {
        const auto found = kept_.find(id);
        return found == kept_.end() ? nullptr : found->second.exchange.get();
    }

    /// Closes the connection of the request.
    void drop(std::uint64_t id)
    {
        kept_.erase(id);
    }

private:
    struct kept
    {
        exchange_ptr exchange;
        std::function<void()> gone;
    };

    void drop_gone(std::uint64_t id)
    {
        const auto found = kept_.find(id);
        if (found == kept_.end())
            return;
        if (found->second.gone)
            found->second.gone();
        // Not destroyed inside its own callback.
        loop_.post([this, id] { kept_.erase(id); });
    }

    io::event_loop& loop_;
    std::map<std::uint64_t, kept> kept_;
    std::uint64_t last_id_ = 0;
};

} // namespace vanillapost::standin

#endif
