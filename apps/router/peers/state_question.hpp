#ifndef VANILLAPOST_APPS_ROUTER_PEERS_STATE_QUESTION_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_STATE_QUESTION_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/state_controller.hpp"

#include <functional>

namespace vanillapost::router {

/// How a question for a peer's state ended.
enum class question_end
{
    taken,
    busy,       ///< the peer tells others all that it knows
    unreadable, ///< such as of a peer of another version
    unanswered
};

/// Asks one peer at a time for what it knows of tables and members.
class state_question
{
public:
    state_question(io::event_loop& loop, state_controller& state,
                   router_metrics& metrics, router_log& log,
                   std::function<void(question_end)> on_end);

    bool is_open() const
    {
        return call_ != nullptr;
    }

    /// Not while one is open.
    /// \param members  the list of members is wanted, too
    void ask(const member& peer, bool members);

private:
    void take_answer(const std::string& peer);
    void end(question_end how);

    io::event_loop& loop_;
    state_controller& state_;
    router_metrics& metrics_;
    router_log& log_;
    std::function<void(question_end)> on_end_;
    std::unique_ptr<io::http_client> client_;
    std::unique_ptr<io::http_call> call_;
    std::string answer_;
    int status_ = 0;
};

} // namespace vanillapost::router

#endif
