#include "scenario.hpp"

#include "toml_reader.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace masticshift::load
{

namespace
{

constexpr unsigned max_tasks_per_job = 890;
constexpr double min_rate = 0.001;
constexpr double min_positive = 1e-6;

constexpr std::array<std::string_view, 4> shape_names{
    "constant", "uniform", "exponential", "log_normal"};
constexpr std::array<std::string_view, 2> action_names{"post", "cancel_wave"};

template <class Enum, std::size_t Size>
std::optional<Enum> find_name(std::array<std::string_view, Size> const& names,
                              std::string_view name)
{
    auto const found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

void read_run_time(toml_reader& reader, run_time_spec& spec)
{
    reader.read_name("shape", spec.shape,
                     [](std::string_view name)
                     {
                         return find_name<run_time_shape>(shape_names, name);
                     });
    reader.read("mean_ms", spec.mean_ms, min_positive);
    reader.read("sigma", spec.sigma, 0);
    reader.read("min_ms", spec.min_ms, 0);
    reader.read("max_ms", spec.max_ms, spec.min_ms);
    reader.read("declared_unit_ms", spec.declared_unit_ms, 0);
    reader.read("declared_error", spec.declared_error, 1);
}

void read_entry(toml_reader& reader, entry_target& entry)
{
    reader.read("address", entry.address);
    reader.read("operator_address", entry.operator_address);
    reader.read("weight", entry.weight, 0);
    if (!reader.has("address"))
        reader.fail("address", result_code::config_missing_key, "missing");
}

void read_phase(toml_reader& reader, load_phase& phase)
{
    reader.read("from_ms", phase.from);
    reader.read("to_ms", phase.to);
    reader.read("rate_factor", phase.rate_factor, 0);
    if (phase.to <= phase.from)
        reader.fail("to_ms", result_code::config_out_of_range,
                    "must be greater than from_ms");
}

void read_action(toml_reader& reader, load_action& action)
{
    reader.read("at_ms", action.at);
    reader.read_name("kind", action.kind,
                     [](std::string_view name)
                     {
                         return find_name<action_kind>(action_names, name);
                     });
    reader.read("address", action.address);
    reader.read("path", action.path);
    reader.read("body", action.body);
    reader.read("part", action.part, 0);
    bool const is_post = action.kind == action_kind::post;
    if (is_post && (!reader.has("address") || !reader.has("path")))
        reader.fail("address", result_code::config_missing_key,
                    "an action of kind post needs address and path");
}

void read_load(toml_reader& reader, scenario& parsed)
{
    reader.read("seed", parsed.seed);
    reader.read("service", parsed.service);
    reader.read_name("kind", parsed.kind, history::call_kind_of);
    reader.read("idempotent", parsed.idempotent);
    reader.read("tasks_per_job", parsed.tasks_per_job, 1);
    reader.read("jobs_per_s", parsed.jobs_per_s, min_rate);
    reader.read("run_for_ms", parsed.run_for);
    reader.read("warm_up_ms", parsed.warm_up);
    reader.read("settle_ms", parsed.settle);
    reader.read("timeout_ms", parsed.timeout);
    reader.read("fastest_speed", parsed.fastest_speed, min_positive);
    reader.read("resubmissions", parsed.resubmissions, 0);
}

template <class Row>
void read_rows(toml_reader& reader, std::string_view key,
               std::vector<Row>& rows, void (*read_row)(toml_reader&, Row&))
{
    reader.read_tables(key,
                       [&](toml_reader& row)
                       {
                           read_row(row, rows.emplace_back());
                       });
}

void check_scenario(toml_reader& reader, scenario const& parsed)
{
    if (parsed.service.empty())
        reader.fail("service", result_code::config_missing_key, "missing");
    if (parsed.entries.empty())
        reader.fail("entry", result_code::config_missing_key, "missing");
    bool const is_request = parsed.kind == history::call_kind::request;
    unsigned const task_limit = is_request ? 1 : max_tasks_per_job;
    if (parsed.tasks_per_job > task_limit)
        reader.fail("tasks_per_job", result_code::config_out_of_range,
                    "more tasks than a job of this kind may have");
    double weights = 0;
    for (auto const& entry : parsed.entries)
        weights += entry.weight;
    if (weights <= 0)
        reader.fail("entry", result_code::config_out_of_range,
                    "the weights of all entries are 0");
}

outcome<scenario> read_scenario(toml::table const& table,
                                std::string const& origin)
{
    scenario parsed;
    toml_reader reader(table, origin);
    read_load(reader, parsed);
    reader.read_tables("run_time",
                       [&](toml_reader& row)
                       {
                           read_run_time(row, parsed.run_time);
                       });
    read_rows(reader, "entry", parsed.entries, read_entry);
    read_rows(reader, "phase", parsed.phases, read_phase);
    read_rows(reader, "action", parsed.actions, read_action);
    check_scenario(reader, parsed);
    if (auto failed = reader.error())
        return *std::move(failed);
    std::ranges::stable_sort(parsed.actions, {}, &load_action::at);
    return parsed;
}

} // namespace

outcome<scenario> parse_scenario(std::string_view toml,
                                 std::string const& origin)
{
    try
    {
        return read_scenario(toml::parse(toml, origin), origin);
    }
    catch (toml::parse_error const& error)
    {
        return failure{result_code::config_syntax,
                       origin + ":" +
                           std::to_string(error.source().begin.line) + ": " +
                           std::string(error.description())};
    }
}

outcome<scenario> load_scenario(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return failure{result_code::io_error, path + ": cannot be read"};
    std::ostringstream text;
    text << file.rdbuf();
    return parse_scenario(text.str(), path);
}

} // namespace masticshift::load
