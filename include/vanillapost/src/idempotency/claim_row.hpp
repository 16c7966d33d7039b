#ifndef VANILLAPOST_SRC_IDEMPOTENCY_CLAIM_ROW_HPP
#define VANILLAPOST_SRC_IDEMPOTENCY_CLAIM_ROW_HPP

#include "../base/identifier.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillapost {

/// State of a claim on an idempotency key.
enum class claim_state
{
    claimed,  ///< its claimant may be running the request
    done,     ///< it ran; the outcome is kept
    released, ///< it did not run; the key may be claimed again
    unknown,  ///< it may have run, and nobody will ever know more
};

/// Outcome of a request that is kept for those who ask again.
struct stored_outcome
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    bool body_kept = true; ///< false when it was too long to keep

    bool operator==(const stored_outcome&) const = default;
};

/// A row under `claims/`.
struct claim_row
{
    std::string key;            ///< the caller's `Idempotency-Key`
    std::string request_digest; ///< of method, path and body
    entry_incarnation claimant;
    claim_state state = claim_state::claimed;
    stored_outcome outcome{};
    std::int64_t expires_unix_ms = 0;

    bool operator==(const claim_row&) const = default;
};

/// Longest body that is kept with a claim, in bytes.
inline constexpr std::size_t max_kept_body_bytes = 32 * 1024;

/// Longest `Idempotency-Key`, in bytes.
inline constexpr std::size_t max_idempotency_key_bytes = 255;

/// Whether a caller may use this as `Idempotency-Key`: visible ASCII, neither
/// empty nor too long.
bool is_idempotency_key(std::string_view key);

/// Key of a claim in the table: "claims/SERVICE/" and 128 bits of hash.
std::string claim_key(const service_id& service, std::string_view key);

/// Digest that tells two requests under one key apart.
std::string digest_request(std::string_view method, std::string_view path,
                           std::string_view body);

/// \throws error  when the text is no claim
claim_row parse_claim(std::string_view text, std::string_view peer);

std::string to_text(const claim_row& row);

} // namespace vanillapost

#endif
