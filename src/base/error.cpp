#include "vanillapost/src/base/error.hpp"

namespace vanillapost {

namespace {

std::string describe(std::string_view step, std::string_view peer,
                     std::string_view what)
{
    std::string text(step);
    if (!peer.empty()) {
        text += " [";
        text += peer;
        text += ']';
    }
    text += ": ";
    text += what;
    return text;
}

} // namespace

error::error(std::string_view step, std::string_view peer,
             std::string_view what)
    : std::runtime_error(describe(step, peer, what)), step_(step), peer_(peer)
{
}

} // namespace vanillapost
