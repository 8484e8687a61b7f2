#include "history_file.hpp"

#include <core/log.hpp>

#include <boost/json/serialize.hpp>

#include <chrono>

namespace platform_standin
{

namespace
{

constexpr std::string_view source = "platform";

std::int64_t wall_microseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

masticshift::outcome<void> history_file::open(std::string const& path)
{
    if (path.empty())
        return {};
    file_.open(path, std::ios::app);
    if (!file_)
    {
        return masticshift::failure{
            masticshift::result_code::io_error,
            "cannot open the history file for writing: " + path};
    }
    return {};
}

void history_file::write(std::string_view event, boost::json::object fields)
{
    if (!file_.is_open())
        return;
    boost::json::object line;
    line["us"] = wall_microseconds();
    line["level"] = masticshift::name_of(masticshift::log_level::info);
    line["source"] = source;
    line["event"] = event;
    for (auto& field : fields)
        line[field.key()] = std::move(field.value());
    file_ << boost::json::serialize(line) << std::endl;
}

} // namespace platform_standin
