#include "options.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>

DEFINE_bool(json, false, "print the result as one JSON object");
DEFINE_string(platform, "", "address of the platform's service, IP:PORT");
DEFINE_string(entry, "", "addresses of entries, IP:PORT, separated by commas");
DEFINE_int64(expect, -1, "apply only if this is the revision in force");
DEFINE_string(change_id, "", "id of an earlier change that is to be repeated");
DEFINE_bool(revision, false, "show only the revision");
DEFINE_string(service, "", "service that runs the tasks");
DEFINE_string(tasks, "",
              "file with a JSON array of tasks; - reads standard input");
DEFINE_string(id, "", "id of an earlier submission that is to be repeated");
DEFINE_int64(timeout_ms, 0,
             "timeout of the job in milliseconds; 0: that of the service");

DECLARE_bool(help);
DECLARE_bool(version);

namespace masticshift::cli
{

namespace
{

constexpr std::array flag_names{"json",     "platform",   "entry",   "expect",
                                "revision", "change_id",  "service", "tasks",
                                "id",       "timeout_ms", "help",    "version"};

constexpr std::int64_t max_timeout_ms = 3'600'000;

failure usage_failure(std::string const& detail)
{
    return {result_code::usage, detail};
}

bool is_flag(std::string const& argument)
{
    return argument.size() > 1 && argument.starts_with("-");
}

struct flag_text
{
    std::string name;
    std::optional<std::string> value;
};

flag_text split_flag(std::string const& argument)
{
    auto const start = argument.starts_with("--") ? 2U : 1U;
    auto const equals = argument.find('=');
    if (equals == std::string::npos)
        return {argument.substr(start), std::nullopt};
    return {argument.substr(start, equals - start),
            argument.substr(equals + 1)};
}

/// Sets flags one by one, because the parser of gflags would exit with a code
/// that does not stand for a result code.
class flag_parser
{
public:
    explicit flag_parser(std::vector<std::string> const& arguments)
        : arguments_(arguments)
    {
    }

    outcome<std::vector<std::string>> parse()
    {
        std::vector<std::string> rest;
        while (next_ < arguments_.size())
        {
            auto const& argument = arguments_[next_++];
            if (!is_flag(argument))
            {
                rest.push_back(argument);
                continue;
            }
            auto const set = set_flag(split_flag(argument));
            if (!set)
                return set.error();
        }
        return rest;
    }

private:
    outcome<void> set_flag(flag_text flag)
    {
        if (std::ranges::find(flag_names, flag.name) == flag_names.end())
            return usage_failure("unknown flag --" + flag.name);
        auto const info =
            gflags::GetCommandLineFlagInfoOrDie(flag.name.c_str());
        if (!flag.value && info.type == "bool")
            flag.value = "true";
        if (!flag.value && next_ < arguments_.size())
            flag.value = arguments_[next_++];
        if (!flag.value)
            return usage_failure("--" + flag.name + " needs a value");
        auto const set = gflags::SetCommandLineOption(flag.name.c_str(),
                                                      flag.value->c_str());
        if (set.empty())
        {
            return usage_failure("--" + flag.name + " takes a " + info.type +
                                 ", not '" + *flag.value + "'");
        }
        return {};
    }

    std::vector<std::string> const& arguments_;
    std::size_t next_ = 0;
};

outcome<std::vector<config::socket_address>>
parse_addresses(std::string const& list)
{
    std::vector<config::socket_address> addresses;
    std::size_t start = 0;
    while (start < list.size())
    {
        auto const end = std::min(list.find(',', start), list.size());
        auto const address =
            config::parse_socket_address(list.substr(start, end - start));
        if (!address)
            return usage_failure("--entry: " + address.error().detail);
        addresses.push_back(*address);
        start = end + 1;
    }
    return addresses;
}

outcome<void> read_addresses(options& parsed)
{
    auto entries = parse_addresses(FLAGS_entry);
    if (!entries)
        return entries.error();
    parsed.entries = std::move(*entries);
    if (FLAGS_platform.empty())
        return {};
    auto const platform = config::parse_socket_address(FLAGS_platform);
    if (!platform)
        return usage_failure("--platform: " + platform.error().detail);
    parsed.platform = *platform;
    return {};
}

} // namespace

outcome<options> parse_options(std::vector<std::string> const& arguments)
{
    auto rest = flag_parser(arguments).parse();
    if (!rest)
        return rest.error();
    options parsed;
    parsed.arguments = std::move(*rest);
    auto const addresses = read_addresses(parsed);
    if (!addresses)
        return addresses.error();
    if (FLAGS_timeout_ms < 0 || FLAGS_timeout_ms > max_timeout_ms)
    {
        return usage_failure("--timeout_ms must be 0 to " +
                             std::to_string(max_timeout_ms));
    }
    if (FLAGS_expect >= 0)
        parsed.expected_revision = static_cast<std::uint64_t>(FLAGS_expect);
    parsed.json = FLAGS_json;
    parsed.change_id = FLAGS_change_id;
    parsed.revision_only = FLAGS_revision;
    parsed.service = FLAGS_service;
    parsed.tasks_path = FLAGS_tasks;
    parsed.id = FLAGS_id;
    parsed.timeout = milliseconds(FLAGS_timeout_ms);
    return parsed;
}

bool help_requested()
{
    return FLAGS_help;
}

bool version_requested()
{
    return FLAGS_version;
}

std::string describe_flags()
{
    constexpr std::size_t name_width = 14;
    std::string text;
    for (auto const* name : flag_names)
    {
        auto const info = gflags::GetCommandLineFlagInfoOrDie(name);
        std::string padded = info.name;
        padded.resize(std::max(name_width, padded.size() + 1), ' ');
        text += "  --" + padded + info.description + "\n";
    }
    return text;
}

} // namespace masticshift::cli
