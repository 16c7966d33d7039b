#include "vanillapost/src/io/detail/mesh_state.hpp"

#include <utility>
#include <vector>

// Incarnations whose connection went down: when is their end proved?

namespace vanillapost::io {

using detail::connect_result;
using detail::mesh_hello;
using detail::suspect;

namespace {

constexpr std::size_t max_suspects = 1024;

} // namespace

// Two processes cannot listen at one address: whoever was there has ended.
void mesh::state::settle_suspects(const mesh_hello& newer)
{
    std::vector<entry_incarnation> ended;
    for (const auto& [who, item] : suspects)
        if (item.last.where == newer.where && who != newer.who)
            ended.push_back(who);
    for (const auto& who : ended) {
        suspects.erase(who);
        notify.on_ended(who);
    }
}

void mesh::state::report_refused(const address& where)
{
    std::vector<entry_incarnation> ended;
    for (const auto& [who, item] : suspects)
        if (item.last.where == where)
            ended.push_back(who);
    for (const auto& who : ended) {
        suspects.erase(who);
        notify.on_ended(who);
    }
}

void mesh::state::add_suspect(const mesh_hello& last)
{
    if (suspects.size() >= max_suspects)
        suspects.erase(suspects.begin());
    auto& added = suspects[last.who];
    added.last = last;
    if (!added.probe)
        probe(added);
}

void mesh::state::probe(suspect& who)
{
    who.probe = std::make_unique<detail::connect_attempt>(
        loop, who.last.where, limits.silence_timeout,
        [this, name = who.last.who](connect_result result,
                                    const detail::bufferevent_ptr&) {
            end_probe(name, result);
        });
}

void mesh::state::end_probe(const entry_incarnation& who, connect_result result)
{
    auto& item = suspects.at(who);
    loop.dispose(std::move(item.probe));
    item.retry.wait(loop.now(), limits.reconnect_interval, random);
    if (result == connect_result::refused)
        report_refused(address(item.last.where));
}

} // namespace vanillapost::io
