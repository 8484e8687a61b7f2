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

/// Maps names of endpoints to small integer ids, used as array indices.
class endpoint_index
{
public:
    /// Returns the id of a name; assigns one to a new name.
    endpoint_id intern(std::string_view name);

    std::optional<endpoint_id> find(std::string_view name) const;

    /// Separates the name from its id, so that `intern` assigns a new id to
    /// the name. The old id stays in use until it is released.
    void detach(std::string_view name);

    /// Removes the id's name, if any, and makes the id available to `intern`.
    void release(endpoint_id id);

private:
    std::map<std::string, endpoint_id, std::less<>> ids_;
    std::vector<endpoint_id> free_;
    endpoint_id next_ = 0;
};

} // namespace masticshift::placement

#endif
