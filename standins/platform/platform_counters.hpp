#ifndef VANILLAPOST_STANDINS_PLATFORM_PLATFORM_COUNTERS_HPP
#define VANILLAPOST_STANDINS_PLATFORM_PLATFORM_COUNTERS_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::standin {

enum class call_kind
{
    read,
    write
};

/// What the platform has been asked, in all, by client and by second.
class platform_counters
{
public:
    void count(call_kind kind, const std::string& client, std::size_t second);
    void count_refused()
    {
        ++refused_;
    }
    void count_lost_answer()
    {
        ++lost_answers_;
    }

    nlohmann::json to_json() const;

private:
    struct totals
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;

        void add(call_kind kind);
        nlohmann::json to_json() const;
    };

    totals all_;
    std::map<std::string, totals> by_client_;
    std::vector<totals> by_second_;
    std::uint64_t refused_ = 0;
    std::uint64_t lost_answers_ = 0;
};

} // namespace vanillapost::standin

#endif
