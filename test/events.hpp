#ifndef VANILLAPOST_TEST_EVENTS_HPP
#define VANILLAPOST_TEST_EVENTS_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace vanillapost::test {

/// Numbers over their whole range, each read by a test as one event.
using events = std::vector<std::uint32_t>;

/// Draws up to `most` events, however small the case otherwise is.
inline events draw_events(int most)
{
    const auto number =
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    return *rc::gen::resize(most, rc::gen::container<events>(number));
}

} // namespace vanillapost::test

#endif
