#include <test_support/log_watch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace masticshift::test_support
{

namespace
{

constexpr milliseconds poll_interval{1};

std::string pattern_of(std::string const& event)
{
    return "\"event\":\"" + event + "\"";
}

std::string read_from(std::string const& path, std::streamoff offset)
{
    std::ifstream file(path);
    file.seekg(offset);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::streamoff size_of(std::string const& path)
{
    std::error_code error;
    auto const size = std::filesystem::file_size(path, error);
    return error ? 0 : static_cast<std::streamoff>(size);
}

} // namespace

log_watch::log_watch(std::vector<std::string> const& paths)
{
    for (auto const& path : paths)
        files_.push_back({path, size_of(path)});
}

bool log_watch::wait_for(std::string const& event, milliseconds timeout)
{
    auto const limit = steady_clock::now() + timeout;
    while (!find(event))
    {
        if (steady_clock::now() >= limit)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

bool log_watch::find(std::string const& event)
{
    auto const pattern = pattern_of(event);
    for (auto& file : files_)
    {
        auto const text = read_from(file.path, file.read_offset);
        if (text.find(pattern) != std::string::npos)
            return true;
        auto const last_end = text.rfind('\n');
        if (last_end != std::string::npos)
            file.read_offset += static_cast<std::streamoff>(last_end) + 1;
    }
    return false;
}

std::size_t count_events(std::string const& path, std::string const& event)
{
    auto const pattern = pattern_of(event);
    std::ifstream file(path);
    std::size_t count = 0;
    for (std::string line; std::getline(file, line);)
        count += line.find(pattern) != std::string::npos ? 1 : 0;
    return count;
}

} // namespace masticshift::test_support
