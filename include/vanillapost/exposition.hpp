#ifndef VANILLAPOST_EXPOSITION_HPP
#define VANILLAPOST_EXPOSITION_HPP

/// Umbrella header of the exposition module: reading what entries show at
/// `/metrics`.

#include "src/exposition/answer_counts.hpp"
#include "src/exposition/metric_sample.hpp"

#endif
