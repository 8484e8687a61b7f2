#ifndef MASTICSHIFT_CAPACITY_SAMPLE_TEXT_HPP
#define MASTICSHIFT_CAPACITY_SAMPLE_TEXT_HPP

#include <config/operator_configuration.hpp>
#include <placement/any_engine.hpp>

#include <string>
#include <vector>

namespace capacity
{

/// Size of a sample configuration.
struct text_shape
{
    unsigned endpoints = 48;
    unsigned slots = 8;
    /// Number of services. Each may use all endpoints.
    unsigned services = 10;
};

/// The operators' configuration text in TOML, with 7 data centres.
std::string make_toml(text_shape shape);

/// The same text, parsed.
masticshift::config::operator_configuration make_text(text_shape shape);

/// An engine of the default policy, without a configuration.
masticshift::placement::any_engine make_engine();

/// `count` live entries in 7 data centres, including the one of `make_engine`.
std::vector<masticshift::placement::live_entry> make_entries(unsigned count);

/// A job for the first service of the configuration.
masticshift::placement::job_request
make_job(std::uint64_t number, unsigned tasks, masticshift::time_point now);

/// Fixed start of the simulated time.
masticshift::time_point start_time();

} // namespace capacity

#endif
