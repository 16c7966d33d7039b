#ifndef VANILLAPOST_STANDINS_PLATFORM_CONNECT_PROBE_HPP
#define VANILLAPOST_STANDINS_PLATFORM_CONNECT_PROBE_HPP

#include <functional>
#include <memory>
#include <vanillapost/io.hpp>

struct event;

namespace vanillapost::standin {

/// Connects to an address once to see whether a process listens there.
class connect_probe
{
public:
    /// \param refused  called when the connection is refused, at the
    ///     earliest once the constructor has returned
    connect_probe(io::event_loop& loop, const io::address& peer,
                  std::function<void()> refused);
    ~connect_probe();
    connect_probe(const connect_probe&) = delete;
    connect_probe& operator=(const connect_probe&) = delete;

    bool finished() const
    {
        return finished_;
    }

private:
    struct free_event
    {
        void operator()(event* value) const;
    };

    static void on_ready(int socket, short events, void* self);
    void settle(int failure);

    std::function<void()> refused_;
    int socket_;
    int connect_error_ = 0; ///< of a connect that ended at once
    std::unique_ptr<event, free_event> ready_;
    bool finished_ = false;
};

} // namespace vanillapost::standin

#endif
