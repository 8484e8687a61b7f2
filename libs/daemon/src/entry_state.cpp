#include "entry_state.hpp"

#include <random>

namespace masticshift::daemon
{

namespace
{

std::uint64_t draw_incarnation()
{
    std::random_device source;
    constexpr int half_bits = 32;
    auto const high = static_cast<std::uint64_t>(source());
    return high << half_bits | source();
}

homes::submission_table_options
make_table_options(config::daemon_settings const& settings,
                   homes::process_name const& self)
{
    homes::submission_table_options options;
    options.self = self;
    options.key = settings.homes.key;
    options.generation = settings.homes.generation_length;
    options.retention = settings.homes.retention;
    options.max_ids = settings.homes.max_ids;
    options.max_answer_bytes = settings.homes.max_answer_bytes;
    return options;
}

homes::inherited_tables make_inherited(config::daemon_settings const& settings,
                                       homes::process_name const& self)
{
    homes::inherited_tables_options options;
    options.retention = settings.homes.retention;
    options.max_ids = settings.homes.max_ids;
    options.max_answer_bytes = settings.homes.max_answer_bytes;
    return {self, options};
}

homes::submission_router_options
make_router_options(config::daemon_settings const& settings,
                    homes::process_name const& self)
{
    homes::submission_router_options options;
    options.self = self;
    options.succession_retention = settings.homes.retention;
    return options;
}

placement::any_engine choose_engine(config::daemon_settings const& settings,
                                    homes::process_name const& self)
{
    placement::engine_settings options;
    options.address = self.address;
    options.data_centre = settings.entry.data_centre;
    options.min_loan_duration = settings.placement.loan_duration;
    options.loan_batch = settings.placement.loan_batch;
    options.borrow_timeout = settings.peers.call_timeout;
    return placement::make_engine(settings.placement.policy, options).value();
}

} // namespace

entry_state::entry_state(config::daemon_settings chosen)
    : settings(std::move(chosen)),
      self{config::to_string(settings.entry.peer_address), draw_incarnation()},
      table(make_table_options(settings, self), steady_clock::now()),
      inherited(make_inherited(settings, self)),
      router(make_router_options(settings, self), inherited),
      engine(choose_engine(settings, self))
{
}

} // namespace masticshift::daemon
