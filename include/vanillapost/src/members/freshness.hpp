#ifndef VANILLAPOST_SRC_MEMBERS_FRESHNESS_HPP
#define VANILLAPOST_SRC_MEMBERS_FRESHNESS_HPP

#include "member_table.hpp"

#include <span>

namespace vanillapost {

/// Whether what an instance knows of the operators' table can be taken for the
/// newest.
///
/// Who has just started may have learnt old rows from a peer that was left
/// behind. What is missing from them may exist all the same, until somebody
/// who reads the store knows no more.
class freshness
{
public:
    /// \param silence_limit  a reader that was not heard for so long confirms
    ///                       nothing
    explicit freshness(duration silence_limit = std::chrono::milliseconds(900));

    /// \param operators    revision up to which the table is known
    /// \param reads_store  this instance reads the store, which answers
    void update(std::uint64_t operators, bool reads_store,
                std::span<const known_member> live);

    /// Stays so while the store is away, unless a peer knows more.
    bool is_fresh() const
    {
        return confirmed_ && !behind_;
    }

private:
    bool is_reader(const known_member& each) const;

    duration silence_limit_;
    bool confirmed_ = false;
    bool behind_ = false;
};

} // namespace vanillapost

#endif
