#include "operator_api.hpp"

namespace masticshift::daemon
{

transport::http_response operator_api::metrics() const
{
    transport::http_response response;
    response.fields.set("Content-Type", "text/plain; version=0.0.4");
    return response;
}

} // namespace masticshift::daemon
