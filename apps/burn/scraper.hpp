#ifndef VANILLAPOST_APPS_BURN_SCRAPER_HPP
#define VANILLAPOST_APPS_BURN_SCRAPER_HPP

#include "burn_report.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vanillapost/io.hpp>
#include <vector>

namespace vanillapost::burn_app {

/// Reads `/metrics` of every entry, all at a time, and feeds a collector.
class scraper
{
public:
    scraper(io::event_loop& loop, const std::vector<io::address>& entries,
            duration timeout, burn_collector& collector);

    /// Starts a round; `done` is called once when every entry has answered or
    /// failed. One round at a time.
    void start_round(std::function<void()> done);

private:
    struct entry
    {
        std::string name;
        std::unique_ptr<io::http_client> client;
        std::unique_ptr<io::http_call> call;
        std::string body;
        int status = 0;
    };

    void start(entry& from);
    void take(entry& from, std::string_view data);
    void finish(entry& from, const std::string& failure);
    void read(entry& from);

    io::event_loop* loop_;
    duration timeout_;
    burn_collector* collector_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::function<void()> done_;
    std::size_t waiting_ = 0;
};

} // namespace vanillapost::burn_app

#endif
