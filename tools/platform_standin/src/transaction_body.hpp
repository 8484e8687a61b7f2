#ifndef PLATFORM_STANDIN_TRANSACTION_BODY_HPP
#define PLATFORM_STANDIN_TRANSACTION_BODY_HPP

#include "table_store.hpp"

#include <core/outcome.hpp>
#include <store/table.hpp>

#include <boost/json/array.hpp>

#include <string>
#include <string_view>

namespace platform_standin
{

/// Reads the body of `POST /v1/transactions`.
masticshift::outcome<store::transaction>
parse_transaction(std::string_view body);

/// The failed checks as rows of a response.
boost::json::array
conflict_rows(std::vector<store::version_check> const& conflicts);

/// The writes with their new versions, as rows of the history.
boost::json::array write_rows(store::transaction const& request,
                              std::vector<std::uint64_t> const& versions);

} // namespace platform_standin

#endif
