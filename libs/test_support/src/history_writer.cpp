#include <test_support/history_writer.hpp>

#include <history/codec.hpp>

#include <boost/json/serialize.hpp>

#include <chrono>

namespace masticshift::test_support
{

namespace
{

std::int64_t wall_microseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

history_writer::history_writer(std::string const& path) : file_(path)
{
}

void history_writer::write(std::string_view source,
                           history::event const& content)
{
    auto line = history::to_fields(content);
    line["source"] = source;
    line["event"] = history::name_of(history::kind_of(content));
    // The time is read under the lock, so that the lines are ordered by it.
    std::lock_guard const lock(mutex_);
    line["us"] = wall_microseconds();
    file_ << boost::json::serialize(line) << std::endl;
}

} // namespace masticshift::test_support
