#include "vanillapost/src/base/store_revision.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost {

std::uint64_t make_revision(std::uint64_t epoch, std::uint64_t number)
{
    if (epoch > max_store_epoch || number > max_revision_number)
        throw error("make revision", "",
                    "epoch " + std::to_string(epoch) + " or number " +
                        std::to_string(number) + " is out of range");
    return epoch << revision_number_bits | number;
}

std::string revision_text(std::uint64_t revision)
{
    const auto number = std::to_string(number_of(revision));
    const auto epoch = epoch_of(revision);
    return epoch == 0 ? number : std::to_string(epoch) + ":" + number;
}

} // namespace vanillapost
