#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_RECORD_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_RECORD_HPP

#include <core/time.hpp>
#include <dispatch/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

enum class endpoint_stage
{
    ready,
    /// Finishes its runs and takes no new ones.
    draining
};

/// The registration of an endpoint.
struct endpoint_record
{
    std::string id;
    /// The VM that it runs on. Speeds are learnt per VM.
    std::string vm;
    std::string ip;
    std::uint16_t port = 0;
    std::string service;
    std::string data_centre;
    resources capacity;
    /// Include its kind and rack.
    std::vector<std::string> labels;
    /// Maximum number of concurrent runs. 0: no limit.
    int slots = 0;
    endpoint_stage stage = endpoint_stage::ready;
    /// Unix time of its start in milliseconds. Distinguishes the incarnations
    /// of one id.
    std::int64_t started_ms = 0;
    /// How much longer it stays slow after its start, when the record was
    /// written.
    milliseconds cold_left{0};
    /// The same as a time, set by `endpoint_registry::take_changes`.
    time_point cold_until{};

    bool is_cold(time_point now) const
    {
        return now < cold_until;
    }

    bool has_label(std::string const& label) const;

    friend bool operator==(endpoint_record const&,
                           endpoint_record const&) = default;
};

} // namespace masticshift::dispatch

#endif
