#ifndef VANILLAPOST_SRC_BASE_RANDOM_HPP
#define VANILLAPOST_SRC_BASE_RANDOM_HPP

#include <pcg_random.hpp>

namespace vanillapost {

/// The generator that callers seed and hand to the library.
using random_engine = pcg32;

} // namespace vanillapost

#endif
