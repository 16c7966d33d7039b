#include "vanillapost/src/records/record.hpp"

namespace vanillapost {

namespace {

struct key_of
{
    std::string operator()(const target_record& value) const
    {
        return "records/target/" + value.name.value;
    }

    std::string operator()(const service_record& value) const
    {
        return "records/service/" + value.name.value;
    }

    std::string operator()(const route_record& value) const
    {
        return "records/route/" + value.name;
    }

    std::string operator()(const data_centre_record& value) const
    {
        return "records/data_centre/" + value.name.value;
    }
};

} // namespace

std::string record_key(const record& value)
{
    return std::visit(key_of{}, value);
}

} // namespace vanillapost
