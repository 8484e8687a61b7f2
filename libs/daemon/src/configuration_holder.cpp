#include "configuration_holder.hpp"

#include <core/log.hpp>

namespace masticshift::daemon
{

configuration_holder::configuration_holder(entry_state& state,
                                           job_runner& runner)
    : state_(state), runner_(runner)
{
}

std::uint64_t configuration_holder::revision() const
{
    return state_.configuration ? state_.configuration->revision : 0;
}

outcome<void> configuration_holder::put_in_force(std::uint64_t revision,
                                                 std::string_view text,
                                                 std::string_view origin,
                                                 time_point now)
{
    if (revision <= this->revision())
        return {};
    auto loaded = config::load_operator_configuration(text, "configuration");
    if (!loaded)
        return loaded.error();
    loaded->revision = revision;
    state_.configuration =
        std::make_shared<config::operator_configuration const>(
            std::move(*loaded));
    state_.engine.configure(*state_.configuration, now);
    boost::json::object fields;
    fields["revision"] = revision;
    fields["origin"] = origin;
    log_event(log_level::info, "configuration_in_force", std::move(fields));
    runner_.schedule_placement();
    return {};
}

} // namespace masticshift::daemon
