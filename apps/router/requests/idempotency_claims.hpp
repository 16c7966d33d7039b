#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_IDEMPOTENCY_CLAIMS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_IDEMPOTENCY_CLAIMS_HPP

#include "reporting/router_log.hpp"
#include "requests/claim_driver.hpp"
#include "requests/request_filters.hpp"

#include <map>

namespace vanillapost::router {

/// The result of a request that was dispatched under a claim.
struct claimed_result
{
    run_state ran = run_state::maybe;
    std::optional<stored_outcome> answer; ///< of the target, if there was one
};

/// Handles bookings with an idempotency key. The key is claimed in the
/// platform's table before the request is dispatched, so that the request runs
/// at most once whichever instances its caller sends it to.
class idempotency_claims
{
public:
    using exchange_ptr = std::unique_ptr<io::caller_exchange>;
    /// Called with a request whose key has been claimed. Its result is to be
    /// passed to `on_ended` with the same number.
    using dispatch_handler = std::function<void(
        std::uint64_t number, exchange_ptr exchange, incoming_request request)>;

    idempotency_claims(io::event_loop& loop, io::platform_client& platform,
                       const cluster_view& cluster,
                       const platform_adapter& adapter, router_log& log);

    void on_dispatch(dispatch_handler handler)
    {
        dispatch_ = std::move(handler);
    }

    void start(exchange_ptr exchange, incoming_request request);

    void on_ended(std::uint64_t number, const claimed_result& result);

    /// Brings the answers of callers that wait for a claim forward to `latest`,
    /// if they are due later.
    void limit_answers(time_point latest);

private:
    struct entry : io::disposable
    {
        exchange_ptr exchange;
        incoming_request request;
        std::unique_ptr<claim_driver> claim;
    };

    claim_request make_claim_request(std::uint64_t number,
                                     const incoming_request& request) const;
    claim_handlers make_handlers(std::uint64_t number);
    void dispatch(std::uint64_t number);
    void answer(std::uint64_t number, const stored_outcome& outcome);
    void refuse(std::uint64_t number, const refuse_request& why);
    void finish(std::uint64_t number);
    bool has_ended(const entry_incarnation& who) const;

    io::event_loop& loop_;
    io::platform_client& platform_;
    const cluster_view& cluster_;
    const platform_adapter& adapter_;
    router_log& log_;
    dispatch_handler dispatch_;
    std::map<std::uint64_t, std::unique_ptr<entry>> entries_;
    std::uint64_t next_number_ = 1;
};

} // namespace vanillapost::router

#endif
