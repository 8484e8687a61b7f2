#ifndef MASTICSHIFT_CAPACITY_SAMPLE_TEXT_HPP
#define MASTICSHIFT_CAPACITY_SAMPLE_TEXT_HPP

#include <config/service_text.hpp>
#include <placement/any_engine.hpp>

#include <string>
#include <vector>

namespace capacity
{

struct text_shape
{
    unsigned endpoints = 48;
    unsigned slots = 8;
    /// Each may use all endpoints.
    unsigned services = 10;
};

/// An operators' text in TOML, over 7 data centres.
std::string make_toml(text_shape shape);

/// The same text, parsed.
masticshift::config::service_text make_text(text_shape shape);

/// An engine of the default policy, without a text.
masticshift::placement::any_engine make_engine();

/// `count` live entries over 7 data centres, that of `make_engine` among them.
std::vector<masticshift::placement::entry_view> make_entries(unsigned count);

/// A job of the first service of the text.
masticshift::placement::job_request
make_job(std::uint64_t number, unsigned tasks, masticshift::time_point now);

/// A time for functions that decide.
masticshift::time_point start_time();

} // namespace capacity

#endif
