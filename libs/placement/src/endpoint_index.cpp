#include <placement/endpoint_index.hpp>

namespace masticshift::placement
{

endpoint_id endpoint_index::intern(std::string_view name)
{
    if (auto const known = find(name))
        return *known;
    endpoint_id id = next_;
    if (free_.empty())
    {
        ++next_;
    }
    else
    {
        id = free_.back();
        free_.pop_back();
    }
    ids_.emplace(name, id);
    return id;
}

std::optional<endpoint_id> endpoint_index::find(std::string_view name) const
{
    auto const found = ids_.find(name);
    if (found == ids_.end())
        return std::nullopt;
    return found->second;
}

void endpoint_index::detach(std::string_view name)
{
    if (auto const found = ids_.find(name); found != ids_.end())
        ids_.erase(found);
}

void endpoint_index::release(endpoint_id id)
{
    std::erase_if(ids_,
                  [id](auto const& row)
                  {
                      return row.second == id;
                  });
    free_.push_back(id);
}

} // namespace masticshift::placement
