#ifndef MASTICSHIFT_PLACEMENT_ENDPOINT_INDEX_HPP
#define MASTICSHIFT_PLACEMENT_ENDPOINT_INDEX_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

using endpoint_id = std::uint32_t;

/// Small integers for the names of endpoints.
class endpoint_index
{
public:
    /// The id of a name, a new one when it has none.
    endpoint_id intern(std::string_view name);

    std::optional<endpoint_id> find(std::string_view name) const;

    /// Takes the name from its id, so that another id can have it. The id
    /// stays in use until it is released.
    void detach(std::string_view name);

    /// Lets the id be given out again. It has no name any more.
    void release(endpoint_id id);

private:
    std::map<std::string, endpoint_id, std::less<>> ids_;
    std::vector<endpoint_id> free_;
    endpoint_id next_ = 0;
};

} // namespace masticshift::placement

#endif
