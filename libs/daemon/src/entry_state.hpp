#ifndef MASTICSHIFT_DAEMON_ENTRY_STATE_HPP
#define MASTICSHIFT_DAEMON_ENTRY_STATE_HPP

#include "entry_metrics.hpp"

#include <config/daemon_settings.hpp>
#include <config/operator_configuration.hpp>
#include <homes/inherited_tables.hpp>
#include <homes/submission_router.hpp>
#include <homes/submission_table.hpp>
#include <placement/any_engine.hpp>

#include <memory>

namespace masticshift::daemon
{

/// State and decision logic of one entry, shared by its services. Not
/// thread-safe: used on the executor's thread only.
struct entry_state
{
    explicit entry_state(config::daemon_settings chosen);

    entry_state(entry_state const&) = delete;
    entry_state& operator=(entry_state const&) = delete;

    config::daemon_settings settings;
    homes::process_name self;
    homes::submission_table table;
    homes::inherited_tables inherited;
    homes::submission_router router;
    placement::any_engine engine;
    entry_metrics metrics;
    /// The configuration in force, null until there is one.
    std::shared_ptr<config::operator_configuration const> configuration;
    bool draining = false;

    bool ready() const
    {
        return configuration != nullptr && !draining;
    }
};

} // namespace masticshift::daemon

#endif
