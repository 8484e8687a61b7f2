#ifndef PLATFORM_STANDIN_PLATFORM_SERVICE_HPP
#define PLATFORM_STANDIN_PLATFORM_SERVICE_HPP

#include "fault_control.hpp"
#include "history_file.hpp"
#include "table_store.hpp"
#include "vm_history.hpp"

#include <core/time.hpp>
#include <store/table.hpp>
#include <transport/http_message.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace platform_standin
{

namespace transport = masticshift::transport;

/// Serves the platform calls of docs/PLATFORM.md from memory and injects the
/// faults that `POST /control` sets.
class platform_service
{
public:
    /// The history must outlive the service.
    explicit platform_service(history_file& history);

    /// Empty if the connection is to be closed without a response.
    boost::asio::awaitable<std::optional<transport::http_response>>
    handle(transport::http_request request);

private:
    using maybe_response = std::optional<transport::http_response>;

    transport::http_response change_control(std::string const& body,
                                            masticshift::time_point now);
    maybe_response handle_read(transport::http_request const& request,
                               masticshift::time_point now);
    maybe_response handle_write(transport::http_request const& request);

    transport::http_response read_entry(std::string_view path) const;
    transport::http_response read_object(std::string_view path) const;
    transport::http_response read_vms(masticshift::time_point now) const;
    transport::http_response commit(transport::http_request const& request);
    transport::http_response put_object(transport::http_request const& request);

    void record_commit(masticshift::store::transaction const& done,
                       std::vector<std::uint64_t> const& versions);
    void record_visible_vms(masticshift::time_point now);
    boost::asio::awaitable<void>
    record_visible_vms_after(masticshift::milliseconds lag);

    history_file& history_;
    fault_control control_;
    table_store tables_;
    std::map<std::string, std::string> objects_;
    vm_history vms_;
    /// Last state of each VM in the history, by address.
    std::map<std::string, std::string> recorded_vms_;
};

} // namespace platform_standin

#endif
