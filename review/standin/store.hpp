#ifndef REVIEW_STANDIN_STORE_HPP
#define REVIEW_STANDIN_STORE_HPP

#include "http.hpp"

#include <boost/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

namespace review
{

/// The platform's store: rows, transactions and the feed of changes.
class store
{
public:
    store();

    std::uint16_t port() const;
    void write(std::string const& table, std::string const& key,
               std::string const& value);

private:
    struct row
    {
        /// Base64.
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    using row_key = std::pair<std::string, std::string>;

    std::optional<http_response> handle(http_request const& request);
    http_response get(http_request const& request);
    http_response feed(http_request const& request);
    http_response transact(http_request const& request);
    http_response rows_response(boost::json::array rows, bool has_more) const;
    boost::json::array changes(std::string const& table,
                               std::int64_t after) const;
    static boost::json::object describe(row_key const& key, row const& value);

    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t version_ = 0;
    std::map<row_key, row> rows_;
};

} // namespace review

#endif
