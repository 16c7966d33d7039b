#ifndef VANILLAPOST_APPS_LOAD_ENTRY_DIRECTORY_HPP
#define VANILLAPOST_APPS_LOAD_ENTRY_DIRECTORY_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vanillapost/io.hpp>
#include <vector>

namespace vanillapost::load {

/// One caller's knowledge of which addresses to use, kept as long as the
/// system says.
///
/// An answer that has become too old is still used while a new one is asked
/// for. Where no address answers, those given at the start are used.
class entry_directory
{
public:
    using addresses = std::vector<io::address>;

    entry_directory(io::event_loop& loop, addresses known,
                    std::string data_centre, std::size_t first);

    /// Calls `use` with the addresses for `service`, best first.
    void find(const std::string& service,
              std::function<void(const addresses&)> use);

    /// The answer for `service` has proved wrong: ask again.
    void distrust(const std::string& service);

private:
    struct answer
    {
        addresses list;
        time_point fresh_until{};
        bool asking = false;
        std::size_t tried = 0; ///< addresses, for the current question
        std::vector<std::function<void(const addresses&)>> waiting;
        std::unique_ptr<io::http_call> call;
        std::string body;
        int status = 0;
    };

    void ask(const std::string& service);
    void take_answer(const std::string& service);
    void try_next(const std::string& service);
    void settle(answer& entry);
    io::http_client& client(const io::address& address);

    io::event_loop& loop_;
    addresses known_;
    std::string data_centre_;
    std::size_t next_; ///< of the known addresses, to be asked
    std::map<std::string, answer> answers_;
    std::map<io::address, io::http_client> clients_;
};

} // namespace vanillapost::load

#endif
