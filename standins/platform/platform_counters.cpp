#include "platform_counters.hpp"

namespace vanillapost::standin {

namespace {

constexpr std::size_t max_seconds = 24 * 3600;

} // namespace

void platform_counters::totals::add(call_kind kind)
{
    ++(kind == call_kind::read ? reads : writes);
}

nlohmann::json platform_counters::totals::to_json() const
{
    return {{"reads", reads}, {"writes", writes}};
}

void platform_counters::count(call_kind kind, const std::string& client,
                              std::size_t second)
{
    all_.add(kind);
    by_client_[client].add(kind);
    if (second >= max_seconds)
        return;
    if (by_second_.size() <= second)
        by_second_.resize(second + 1);
    by_second_[second].add(kind);
}

nlohmann::json platform_counters::to_json() const
{
    auto result = all_.to_json();
    result["refused"] = refused_;
    result["lost_answers"] = lost_answers_;
    auto& clients = result["clients"] = nlohmann::json::object();
    for (const auto& [name, client] : by_client_)
        clients[name] = client.to_json();
    auto& reads = result["reads_by_second"] = nlohmann::json::array();
    auto& writes = result["writes_by_second"] = nlohmann::json::array();
    for (const auto& second : by_second_) {
        reads.push_back(second.reads);
        writes.push_back(second.writes);
    }
    return result;
}

} // namespace vanillapost::standin
