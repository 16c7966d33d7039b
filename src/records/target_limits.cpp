#include "vanillapost/src/records/target_limits.hpp"

#include <limits>

namespace vanillapost {

namespace {

constexpr int no_limit = std::numeric_limits<int>::max();

/// What is left of each limit while slots are given out.
class remaining_limits
{
public:
    explicit remaining_limits(const record_set& records)
    {
        for (const auto& [name, service] : records.services())
            services_[name] = service.limit.value_or(no_limit);
        for (const auto& [name, centre] : records.data_centres())
            centres_[name] = centre.limit.value_or(no_limit);
    }

    bool take(const target_record& target)
    {
        int& service =
            services_.try_emplace(target.service, no_limit).first->second;
        int& centre =
            centres_.try_emplace(target.data_centre, no_limit).first->second;
        if (service == 0 || centre == 0)
            return false;
        --service;
        --centre;
        return true;
    }

private:
    std::map<service_id, int> services_;
    std::map<data_centre_id, int> centres_;
};

} // namespace

std::map<target_id, int> share_limits(const record_set& records)
{
    std::map<target_id, int> result;
    remaining_limits left(records);
    bool given = true;
    while (given) {
        given = false;
        for (const auto& [name, target] : records.targets()) {
            int& slots = result[name];
            if (!records.takes_work(target) || slots >= target.slots)
                continue;
            if (!left.take(target))
                continue;
            ++slots;
            given = true;
        }
    }
    return result;
}

} // namespace vanillapost
