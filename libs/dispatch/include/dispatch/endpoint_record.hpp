#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_RECORD_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_RECORD_HPP

#include <dispatch/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

enum class endpoint_stage
{
    ready,
    /// Runs what it has, takes nothing new.
    draining
};

/// What an endpoint says of itself.
struct endpoint_record
{
    std::string id;
    /// The VM below. Learnt speeds belong to it.
    std::string vm;
    std::string ip;
    std::uint16_t port = 0;
    std::string service;
    std::string data_centre;
    resources capacity;
    /// Kind and rack among them.
    std::vector<std::string> labels;
    /// Tasks at the same time, at most.
    int slots = 0;
    endpoint_stage stage = endpoint_stage::ready;
    /// Unix time of its start in milliseconds: tells two lives of one id
    /// apart.
    std::int64_t started_ms = 0;

    bool has_label(std::string const& label) const;

    friend bool operator==(endpoint_record const&,
                           endpoint_record const&) = default;
};

} // namespace masticshift::dispatch

#endif
