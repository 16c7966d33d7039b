// The price of looking a request up among those under which targets end, by the
// size of its body.
#include "vanillapost/attempts.hpp"

#include <chrono>
#include <cstdio>
#include <string>

namespace {

using namespace vanillapost;

constexpr int rounds = 200'000;

double ns_per_look_up(std::size_t body_bytes)
{
    crash_suspects suspects(1);
    suspects.on_peer_report({"GET/shop.example/other", "t1", 5, {}},
                            time_point{});
    std::string body(body_bytes, 'x');
    std::size_t held = 0;
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        if (!body.empty())
            body[static_cast<std::size_t>(i) % body.size()] =
                static_cast<char>(i);
        const auto identity = request_identity(
            "GET", "shop.example", "/stock/abcdef/1234567890", body);
        held += suspects.is_held(identity, time_point{}) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - began;
    return held == 0 ? taken.count() / rounds : 0;
}

} // namespace

int main()
{
    for (const std::size_t body_bytes : {0u, 1024u, 7u * 1024, 64u * 1024})
        std::printf("%6zu bytes: %6.0f ns\n", body_bytes,
                    ns_per_look_up(body_bytes));
}
