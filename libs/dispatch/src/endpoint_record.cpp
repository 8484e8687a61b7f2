#include <dispatch/endpoint_record.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

bool endpoint_record::has_label(std::string const& label) const
{
    return std::ranges::find(labels, label) != labels.end();
}

} // namespace masticshift::dispatch
