#include "commands.hpp"
#include "input_text.hpp"
#include "job_submission.hpp"

#include <boost/json/parse.hpp>

#include <utility>

namespace masticshift::cli
{

namespace json = boost::json;

namespace
{

outcome<json::array> read_tasks(std::string const& path)
{
    auto const text = read_input(path);
    if (!text)
        return text.error();
    boost::system::error_code error;
    auto parsed = json::parse(*text, error);
    if (error || !parsed.is_array())
    {
        return failure{result_code::malformed_request,
                       path + ": must be a JSON array of tasks, such as "
                              "[{\"input\": {}}]"};
    }
    return std::move(parsed.as_array());
}

} // namespace

pending_report run_submit(session& calls, options const& command_line)
{
    if (command_line.service.empty() || command_line.tasks_path.empty())
    {
        co_return report_of(
            failure{result_code::usage, "submit needs --service and --tasks"});
    }
    auto tasks = read_tasks(command_line.tasks_path);
    if (!tasks)
        co_return report_of(tasks.error());
    submit_limits const limits;
    job_submission job(calls, command_line, std::move(*tasks), limits);
    co_return co_await job.run(steady_clock::now());
}

} // namespace masticshift::cli
