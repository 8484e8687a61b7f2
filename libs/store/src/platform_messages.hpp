#ifndef MASTICSHIFT_STORE_PLATFORM_MESSAGES_HPP
#define MASTICSHIFT_STORE_PLATFORM_MESSAGES_HPP

#include <core/outcome.hpp>
#include <store/table.hpp>
#include <transport/http_client.hpp>
#include <transport/http_message.hpp>

namespace masticshift::store
{

transport::http_request read_request(table_key const& key);
outcome<table_entry> read_answer(transport::http_response const& response);

transport::http_request commit_request(transaction const& write);

/// Anything but a clear answer leaves it open whether the write took effect.
commit_answer answer_to_commit(transport::http_response const& response);
commit_answer answer_to_commit(transport::call_failure const& failed);

/// The error of a call that only reads.
failure read_failure(transport::call_failure const& failed);
failure unexpected_status(transport::http_response const& response);

} // namespace masticshift::store

#endif
