#include "table_store.hpp"

namespace platform_standin
{

std::optional<store::table_entry>
table_store::read(store::table_key const& key) const
{
    auto const found = values_.find(key);
    if (found == values_.end() || !found->second.value)
        return std::nullopt;
    return store::table_entry{found->second.writes, *found->second.value};
}

commit_result table_store::commit(store::transaction const& request)
{
    commit_result result;
    for (auto const& check : request.checks)
    {
        auto const version = version_of(check.key);
        if (version != check.version)
            result.conflicts.push_back({check.key, version});
    }
    if (!result.conflicts.empty())
        return result;
    for (auto const& write : request.writes)
    {
        auto& stored = values_[write.key];
        stored.value = write.value;
        result.versions.push_back(++stored.writes);
    }
    return result;
}

std::uint64_t table_store::version_of(store::table_key const& key) const
{
    auto const entry = read(key);
    return entry ? entry->version : 0;
}

} // namespace platform_standin
