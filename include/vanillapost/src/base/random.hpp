#ifndef VANILLAPOST_SRC_BASE_RANDOM_HPP
#define VANILLAPOST_SRC_BASE_RANDOM_HPP

#include <pcg_random.hpp>

namespace vanillapost {

/// The generator that callers seed and hand to the library.
using random_engine = pcg32;

/// A number from 0 to 1, both included.
inline double draw_share(random_engine& random)
{
    return static_cast<double>(random()) /
           static_cast<double>(random_engine::max());
}

} // namespace vanillapost

#endif
