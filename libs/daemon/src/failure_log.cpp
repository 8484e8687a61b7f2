#include "failure_log.hpp"

#include <core/log.hpp>

namespace masticshift::daemon
{

void log_failure(std::string_view event, failure const& error)
{
    boost::json::object fields;
    fields["code"] = static_cast<int>(error.code);
    fields["reason"] = error.detail;
    log_event(log_level::warning, event, std::move(fields));
}

} // namespace masticshift::daemon
