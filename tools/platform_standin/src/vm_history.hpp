#ifndef PLATFORM_STANDIN_VM_HISTORY_HPP
#define PLATFORM_STANDIN_VM_HISTORY_HPP

#include <core/time.hpp>

#include <boost/json/array.hpp>

#include <deque>

namespace platform_standin
{

/// The VM lists that were set, so that readers can get an old one.
class vm_history
{
public:
    void set(boost::json::array vms, masticshift::time_point now);

    /// The list that was current at `now - lag`, or the oldest one kept.
    boost::json::array const& visible(masticshift::time_point now,
                                      masticshift::milliseconds lag) const;

private:
    struct version
    {
        masticshift::time_point since;
        boost::json::array vms;
    };

    std::deque<version> versions_{version{}};
};

} // namespace platform_standin

#endif
