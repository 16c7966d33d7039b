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
    claimed,  ///< the claimant may be running the request
    done,     ///< the request ran; its outcome is stored
    released, ///< the request did not run; the key may be claimed again
    unknown,  ///< the request may have run; its outcome is lost for good
};

/// Outcome of a request, stored to answer repeated requests with the same key.
struct stored_outcome
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    bool body_kept = true; ///< false when it was too long to store

    bool operator==(const stored_outcome&) const = default;
};

/// Content of a row under `claims/` in the table.
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

/// Longest body that is stored with a claim, in bytes.
inline constexpr std::size_t max_kept_body_bytes = 32 * 1024;

/// Longest `Idempotency-Key`, in bytes.
inline constexpr std::size_t max_idempotency_key_bytes = 255;

/// Whether the text is a valid `Idempotency-Key`: 1 to
/// \ref max_idempotency_key_bytes of visible ASCII.
bool is_idempotency_key(std::string_view key);

/// Key of a claim in the table: "claims/SERVICE/" and a hash of 128 bits, in
/// hexadecimal, of the idempotency key.
std::string claim_key(const service_id& service, std::string_view key);

/// Digest that distinguishes different requests with the same key.
std::string digest_request(std::string_view method, std::string_view path,
                           std::string_view body);

/// \throws error  when the text is not a valid claim
claim_row parse_claim(std::string_view text, std::string_view peer);

std::string to_text(const claim_row& row);

} // namespace vanillapost

#endif
