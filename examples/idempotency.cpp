// A booking is claimed in the table before it is dispatched.
#include "vanillapost/idempotency.hpp"

#include <iostream>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    const time_point now{};
    idempotency_claim claim({.service = {"booking"},
                             .key = "order-17",
                             .digest = digest_request("POST", "/book", "{}"),
                             .self = {{"entry-1"}, "a"},
                             .write_id = "entry-1-a-1",
                             .deadline = now + 1s},
                            {}, [](const entry_incarnation&) { return false; });
    for (const claim_action& action : claim.start(now, 1'800'000'000'000)) {
        if (const auto* write = std::get_if<submit_claim>(&action))
            std::cout << "put " << write->transaction.operations[0].key << '\n';
    }
    for (const claim_action& action :
         claim.on_transaction(transaction_done{.at = 5}, now)) {
        if (std::holds_alternative<dispatch_claimed>(action))
            std::cout << "dispatch\n";
    }
    claim.on_outcome({.status = 201, .body = "booked"}, now);
    claim.on_transaction(transaction_done{.at = 6}, now);
    std::cout << (claim.finished() ? "outcome kept\n" : "pending\n");
}
