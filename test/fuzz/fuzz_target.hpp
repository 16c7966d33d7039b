#ifndef VANILLAPOST_TEST_FUZZ_FUZZ_TARGET_HPP
#define VANILLAPOST_TEST_FUZZ_FUZZ_TARGET_HPP

#include "vanillapost/base.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace vanillapost::fuzz {

/// What a target defines: decodes any bytes, or throws `error`.
void decode(std::string_view bytes);

/// Ends the run: the decoder let something through that it must not.
inline void require(bool holds)
{
    if (!holds)
        std::abort();
}

/// Runs one of several decoders over the same bytes.
template <class Decode>
void decode_or_refuse(Decode decode_one)
{
    try {
        decode_one();
    } catch (const error&) {
        // Refused, as it should be.
    }
}

} // namespace vanillapost::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    // A copy of its own, so that a read past its end is one.
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    vanillapost::fuzz::decode_or_refuse(
        [&] { vanillapost::fuzz::decode(bytes); });
    return 0;
}

#endif
