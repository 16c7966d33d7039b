#include "vanillapost/src/limits/cold_ramp.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost {

cold_ramp::cold_ramp(const cold_ramp_settings& settings)
    : settings_(settings), level_(settings.cold_slots)
{
    assert(settings.cold_slots >= 0 && settings.warm_slots >= 0);
    assert(settings.good_per_level > 0);
}

int cold_ramp::level() const
{
    if (warm_)
        return settings_.warm_slots;
    return std::min(level_, settings_.warm_slots);
}

void cold_ramp::on_good(int busy)
{
    if (warm_ || busy < level())
        return;
    if (++good_ < settings_.good_per_level)
        return;
    good_ = 0;
    if (level_ >= settings_.warm_slots)
        warm_ = true;
    else
        ++level_;
}

void cold_ramp::on_cold_sign()
{
    warm_ = false;
    level_ = settings_.cold_slots;
    good_ = 0;
}

void cold_ramp::on_warm_knowledge()
{
    warm_ = true;
}

void cold_ramp::on_doubt()
{
    good_ = 0;
}

void cold_ramp::change_limits(int cold_slots, int warm_slots)
{
    if (level_ == settings_.cold_slots)
        level_ = cold_slots;
    settings_.cold_slots = cold_slots;
    settings_.warm_slots = warm_slots;
}

} // namespace vanillapost
