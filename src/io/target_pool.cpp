#include "vanillapost/src/io/target_pool.hpp"

#include "vanillapost/src/io/detail/target_link.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::io {

target_call::target_call(detail::target_link& link) : link_(&link)
{
}

target_call::~target_call()
{
    if (link_)
        link_->abandon();
}

void target_call::pause()
{
    if (link_)
        link_->pause();
}

void target_call::resume()
{
    if (link_)
        link_->resume();
}

struct target_pool::state
{
    event_loop& loop;
    address target;
    target_pool_settings settings;
    std::vector<std::unique_ptr<detail::target_link>> links;
    std::vector<detail::target_link*> idle; ///< the last used one is last
    std::uint64_t made = 0;

    detail::target_link& add()
    {
        ++made;
        links.push_back(std::make_unique<detail::target_link>(
            loop, target, settings,
            [this](detail::target_link& link) { changed(link); }));
        return *links.back();
    }

    void changed(detail::target_link& link)
    {
        if (link.is_idle()) {
            idle.push_back(&link);
            return;
        }
        std::erase(idle, &link);
        const auto found = std::ranges::find(
            links, &link, [](const auto& each) { return each.get(); });
        if (found == links.end())
            return;
        loop.dispose(std::move(*found));
        links.erase(found);
    }

    detail::target_link* take_idle(duration max_silence)
    {
        if (idle.empty())
            return nullptr;
        auto* link = idle.back();
        const auto now = loop.now();
        if (link->is_expired(now) || now - link->last_heard() > max_silence)
            return nullptr;
        idle.pop_back();
        return link;
    }
};

target_pool::target_pool(event_loop& loop, address target,
                         target_pool_settings settings)
    : state_(new state{loop, std::move(target), std::move(settings), {}, {}})
{
}

target_pool::~target_pool()
{
    // Links may still be on the stack of libevent.
    auto links = std::exchange(state_->links, {});
    for (auto& link : links) {
        link->end();
        state_->loop.dispose(std::move(link));
    }
}

std::unique_ptr<target_call> target_pool::start(target_call_request request,
                                                target_call_handlers handlers)
{
    auto* link = state_->take_idle(request.max_silence);
    if (link)
        return link->send(std::move(request), std::move(handlers));
    if (state_->links.size() >= state_->settings.max_connections) {
        if (!state_->idle.empty())
            state_->idle.front()->end();
        else
            return state_->add().fail_later(std::move(handlers),
                                            "all connections are in use");
    }
    return state_->add().send(std::move(request), std::move(handlers));
}

bool target_pool::has_idle() const
{
    return !state_->idle.empty();
}

std::size_t target_pool::open_connections() const
{
    return state_->links.size();
}

std::uint64_t target_pool::connections_made() const
{
    return state_->made;
}

void target_pool::sweep(time_point now)
{
    auto idle = state_->idle;
    for (auto* link : idle)
        if (link->is_expired(now))
            link->end();
}

} // namespace vanillapost::io
