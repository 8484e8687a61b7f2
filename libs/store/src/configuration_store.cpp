#include <store/configuration_store.hpp>

#include <charconv>

namespace masticshift::store
{

namespace
{

constexpr char const* table_name = "masticshift";

} // namespace

table_key revision_key()
{
    return {table_name, "revision"};
}

table_key configuration_key()
{
    return {table_name, "configuration"};
}

outcome<std::uint64_t> parse_revision(table_entry const& entry)
{
    std::uint64_t revision = 0;
    if (entry.version == 0)
        return revision;
    auto const* const begin = entry.value.data();
    auto const* const end = begin + entry.value.size();
    auto const parsed = std::from_chars(begin, end, revision);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return failure{result_code::platform_bad_answer,
                       "the stored revision is not a number"};
    return revision;
}

transaction replace_record(std::uint64_t entry_version,
                           configuration_record const& record)
{
    transaction write;
    write.checks.push_back({configuration_key(), entry_version});
    write.writes.push_back({revision_key(), std::to_string(record.revision)});
    write.writes.push_back({configuration_key(), to_json(record)});
    return write;
}

} // namespace masticshift::store
