#ifndef MASTICSHIFT_STORE_PLATFORM_MESSAGES_HPP
#define MASTICSHIFT_STORE_PLATFORM_MESSAGES_HPP

#include <core/outcome.hpp>
#include <store/table.hpp>
#include <transport/http_client.hpp>
#include <transport/http_message.hpp>

namespace masticshift::store
{

transport::http_request read_request(table_key const& key);
outcome<table_entry>
parse_table_entry(transport::http_response const& response);

transport::http_request commit_request(transaction const& write);

/// The result of a commit. It is `unknown` unless the response or the stage of
/// the failure shows whether the write took effect.
commit_answer commit_result(transport::http_response const& response);
commit_answer commit_result(transport::call_failure const& failed);

/// The error of a call that failed.
failure call_error(transport::call_failure const& failed);
/// The error for a response whose status or body was not expected.
failure unexpected_response(transport::http_response const& response);

} // namespace masticshift::store

#endif
