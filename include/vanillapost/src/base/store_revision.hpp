#ifndef VANILLAPOST_SRC_BASE_STORE_REVISION_HPP
#define VANILLAPOST_SRC_BASE_STORE_REVISION_HPP

#include "number_text.hpp"

#include <cstdint>
#include <string>

namespace vanillapost {

/// \file
/// A revision orders all changes of the store, also when the store is restored
/// from an older copy and gives out its numbers again. The store's epoch, which
/// rises with each restore, is in the upper bits of a revision, the number that
/// the store gave the change is in the lower ones. Revisions without an epoch,
/// from peers of earlier versions, are thereby revisions of epoch 0.

inline constexpr unsigned revision_number_bits = 40;
inline constexpr std::uint64_t max_revision_number =
    (std::uint64_t{1} << revision_number_bits) - 1;
/// So that a revision stays exact in all programs that speak JSON.
inline constexpr std::uint64_t max_store_epoch =
    (max_exact_whole >> revision_number_bits) - 1;

/// \throws error  when the epoch or the number is out of range
std::uint64_t make_revision(std::uint64_t epoch, std::uint64_t number);

constexpr std::uint64_t epoch_of(std::uint64_t revision)
{
    return revision >> revision_number_bits;
}

constexpr std::uint64_t number_of(std::uint64_t revision)
{
    return revision & max_revision_number;
}

/// "480", or with an epoch "2:480".
std::string revision_text(std::uint64_t revision);

} // namespace vanillapost

#endif
