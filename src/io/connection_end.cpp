#include "vanillapost/src/io/detail/connection_end.hpp"

#include <cassert>

namespace vanillapost::io::detail {

bool connection_end::on_answer_begins(server_phase phase,
                                      const connection_load& load)
{
    assert(load.unanswered > 0);
    // Taken back when the server serves again.
    wanted_ = phase != server_phase::serving;
    return wanted_ && choose_last(load);
}

bool connection_end::on_request_taken(server_phase phase,
                                      const connection_load& load)
{
    const bool wanted = phase == server_phase::closing ||
                        (phase == server_phase::leaving && wanted_);
    return wanted && choose_last(load);
}

bool connection_end::on_server_closing(const connection_load& load)
{
    return choose_last(load);
}

bool connection_end::choose_last(const connection_load& load)
{
    const bool possible =
        load.unanswered > 0 && !load.newest_begun && !load.reading;
    if (stage_ != stage::open || !possible)
        return false;
    stage_ = stage::last_taken;
    return true;
}

void connection_end::take_no_more()
{
    if (stage_ == stage::open)
        stage_ = stage::last_taken;
}

void connection_end::shut_down()
{
    assert(stage_ != stage::ended);
    stage_ = stage::shut_down;
}

bool connection_end::end()
{
    if (stage_ == stage::ended)
        return false;
    stage_ = stage::ended;
    return true;
}

} // namespace vanillapost::io::detail
