#ifndef MASTICSHIFT_STORE_PLATFORM_CLIENT_HPP
#define MASTICSHIFT_STORE_PLATFORM_CLIENT_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <store/table.hpp>
#include <store/vm_list.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>

namespace masticshift::store
{

/// Access to the platform's services. `read` and `read_vms` fail with
/// `platform_unavailable`, `platform_timeout` or `platform_bad_answer`. `read`
/// returns version 0 for an absent key.
template <class Client>
concept platform_client = requires(Client& client, table_key key,
                                   transaction write)
{
    {
        client.read(key)
        } -> std::same_as<boost::asio::awaitable<outcome<table_entry>>>;
    {
        client.commit(write)
        } -> std::same_as<boost::asio::awaitable<commit_answer>>;
    {
        client.read_vms()
        } -> std::same_as<boost::asio::awaitable<outcome<vm_list>>>;
};

/// Suspends the coroutine between two attempts.
template <class Wait>
concept waiter = requires(Wait& wait, milliseconds length)
{
    {
        wait(length)
        } -> std::same_as<boost::asio::awaitable<void>>;
};

} // namespace masticshift::store

#endif
