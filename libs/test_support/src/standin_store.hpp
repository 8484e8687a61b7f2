#ifndef MASTICSHIFT_TEST_SUPPORT_STANDIN_STORE_HPP
#define MASTICSHIFT_TEST_SUPPORT_STANDIN_STORE_HPP

#include "standin_http.hpp"

#include <test_support/gateway_standin.hpp>
#include <test_support/row_table.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::test_support
{

/// Stand-in of the platform's store over HTTP.
class standin_store : public std::enable_shared_from_this<standin_store>
{
public:
    standin_store(asio::any_io_executor executor,
                  std::shared_ptr<platform_faults> faults);

    outcome<void> listen(std::uint16_t port);
    std::uint16_t port() const;

    /// When it last refused a call or left it without a response.
    time_point unavailable_at() const
    {
        return unavailable_at_;
    }

    /// Writes a row in a transaction of its own.
    void write(std::string const& table, std::string const& key,
               std::string value);

    /// Deletes a row in a transaction of its own.
    void remove(std::string const& table, std::string const& key);

private:
    using found_rows = std::vector<std::pair<std::string, stored_row>>;

    static asio::awaitable<standin_response>
    handle(std::shared_ptr<standin_store> self,
           transport::http_request request);
    static asio::awaitable<standin_response>
    watch(std::shared_ptr<standin_store> self, std::string table,
          std::string target);
    standin_response commit(std::string const& text);
    standin_response rows_response(std::string const& table,
                                   found_rows const& found,
                                   std::int64_t version) const;

    asio::any_io_executor executor_;
    std::shared_ptr<platform_faults> faults_;
    row_table rows_;
    time_point unavailable_at_{};
    std::unique_ptr<transport::http_server> server_;
};

} // namespace masticshift::test_support

#endif
