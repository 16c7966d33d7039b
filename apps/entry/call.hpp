#ifndef VANILLAPOST_APPS_ENTRY_CALL_HPP
#define VANILLAPOST_APPS_ENTRY_CALL_HPP

#include "claim_driver.hpp"
#include "problem.hpp"
#include "target_controller.hpp"

#include "vanillapost/io.hpp"
#include "vanillapost/records.hpp"
#include "vanillapost/retry.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillapost::entry {

/// A forward to a peer that is thought to have a free slot.
struct peer_place
{
    entry_id peer;
};

using call_place = std::variant<target_place, peer_place>;

/// One sending of a caller's request to a target or peer.
struct attempt
{
    std::uint64_t number = 0;
    call_place where;
    time_point started{};
    time_point deadline{};
    bool hedge = false;
    std::unique_ptr<io::http_call> io;

    // The answer so far.
    int status = 0; ///< 0 until the headers have come
    io::header_list headers;
    duration latency{}; ///< from dispatch to the headers
    target_state state = target_state::unknown;
    bool not_run = false;    ///< the target said that it did not run it
    bool not_placed = false; ///< the peer said that it is full
    std::string body;        ///< as long as the answer is buffered
};

/// Where the answer to the caller stands.
struct answer_progress
{
    std::uint64_t winner = 0;     ///< attempt that is answered from
    bool streaming = false;       ///< headers have gone to the caller
    std::string etag;             ///< strong validator, to resume by range
    std::uint64_t first_byte = 0; ///< offset of the body in the whole object
    std::uint64_t relayed = 0;    ///< bytes of the body given to the caller
    std::uint64_t expected = 0;   ///< length of the body; 0 when not known
};

/// One request of a caller, from its arrival to its whole answer.
struct call
{
    std::uint64_t number = 0;
    std::string request_id;
    time_point arrived{};
    duration objective{};
    service_id service;
    request_facts facts;
    std::string forwarded_by; ///< the entry that sent it, or ""
    std::string idempotency_key;
    io::http_request request; ///< as it goes to the target

    std::unique_ptr<io::server_exchange> exchange; ///< null once caller is gone
    std::unique_ptr<claim_driver> claim;
    bool queued = false;
    bool dispatched = false;
    run_state ran = run_state::no; ///< the worst of the attempts so far
    bool finished = false;         ///< the caller has its final answer
    std::vector<attempt> attempts;
    std::uint64_t last_attempt = 0;
    std::vector<target_id> tried_targets;
    std::vector<entry_id> tried_peers;
    int full_peers = 0; ///< peers that were full although thought free
    answer_progress answer;
    std::optional<io::timer> timer; ///< of a retry or hedge
};

} // namespace vanillapost::entry

#endif
