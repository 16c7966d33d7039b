#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_MESSAGES_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_MESSAGES_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace vanillapost {

/// Largest number of requests that one message asks for or grants for an
/// organisation.
inline constexpr std::uint32_t max_quota_tokens = 100'000;

/// What an instance asks for one organisation.
struct quota_demand
{
    organisation_id organisation;
    std::uint32_t wanted = 0; ///< requests that it would send on
    /// Requests granted by the receiver that this instance did not send on, and
    /// now will not.
    std::uint32_t returned = 0;

    bool operator==(const quota_demand&) const = default;
};

/// What an instance asks an owner of quotas.
struct quota_report
{
    entry_id from;
    std::uint64_t number = 0; ///< rises with each report of an instance
    std::vector<quota_demand> demands;

    bool operator==(const quota_report&) const = default;
};

/// What an owner grants for one organisation.
struct quota_grant
{
    organisation_id organisation;
    std::uint32_t tokens = 0; ///< requests that may be sent on
    /// How long they are valid, counted from when the report was sent.
    duration lifetime{};
    /// Nonzero: the quota is short, and the next report should come after this
    /// time.
    duration ask_again_after{};

    bool operator==(const quota_grant&) const = default;
};

/// An owner's answer to a report.
struct quota_reply
{
    entry_id from;
    std::uint64_t number = 0; ///< of the report
    std::vector<quota_grant> grants;

    bool operator==(const quota_reply&) const = default;
};

/// Formats a message as JSON: arrays in place of names, as many are sent.
nlohmann::json to_json(const quota_report& report);
nlohmann::json to_json(const quota_reply& reply);

/// Parses what `to_json` has formatted.
/// \throws error  if it is not such a message, a number is out of range, or
///                there are too many organisations
quota_report parse_quota_report(const nlohmann::json& message);
quota_reply parse_quota_reply(const nlohmann::json& message);

} // namespace vanillapost

#endif
