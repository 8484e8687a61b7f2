#ifndef MASTICSHIFT_CLI_PLATFORM_ACCESS_HPP
#define MASTICSHIFT_CLI_PLATFORM_ACCESS_HPP

#include "options.hpp"
#include "session.hpp"

#include <store/configuration_store.hpp>
#include <store/http_platform.hpp>
#include <store/timer_wait.hpp>

namespace masticshift::cli
{

inline constexpr milliseconds platform_timeout{2'000};

/// Access to the configuration store of the platform that `--platform` names.
class platform_access
{
public:
    using store_type =
        store::configuration_store<store::http_platform, store::timer_wait>;

    platform_access(session& calls, options const& command_line)
        : platform_(calls.client(), *command_line.platform, platform_timeout),
          store_(platform_, {})
    {
    }

    store_type& store()
    {
        return store_;
    }

private:
    store::http_platform platform_;
    store_type store_;
};

} // namespace masticshift::cli

#endif
