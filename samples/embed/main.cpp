// Uses the libraries homes and placement without the daemon: detects a
// resubmission, places the tasks of a job and keeps its answer. The libraries
// take the current time as an argument, so the sample runs without waiting.

#include <config/operator_configuration.hpp>
#include <homes/body_digest.hpp>
#include <homes/submission_table.hpp>
#include <placement/any_engine.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>

namespace
{

using namespace masticshift;

constexpr milliseconds run_time{100};
constexpr milliseconds job_timeout{2'000};
constexpr unsigned job_tasks = 12;

constexpr char const* service_toml = R"(
[data_centre.ikeja]
region = "ng-southwest"

[endpoint.ikeja-1]
address = "10.0.0.1:9101"
data_centre = "ikeja"
slots = 8

[service.orderdesk]
endpoints = ["ikeja-1"]
run_time_ms = 100
)";

homes::submission_table make_table(time_point now)
{
    homes::submission_table_options options;
    options.self = {"10.0.0.9:8201", 1};
    return {std::move(options), now};
}

std::optional<placement::any_engine> make_engine(time_point now)
{
    auto const text =
        config::load_operator_configuration(service_toml, "sample");
    if (!text)
        return std::nullopt;
    placement::engine_settings settings;
    settings.address = "10.0.0.9:8201";
    settings.data_centre = "ikeja";
    auto engine = placement::make_engine("lending", settings);
    engine->configure(*text, now);
    engine->set_entries({}, now);
    return engine;
}

/// Runs one admitted job. Returns the number of tasks that were started.
unsigned run_tasks(placement::any_engine& engine, time_point now)
{
    unsigned started = 0;
    auto running = engine.place(now);
    while (!running.empty())
    {
        started += static_cast<unsigned>(running.size());
        now += run_time;
        for (auto const& one : running)
            engine.finished(one.task, placement::task_result::ok, run_time,
                            now);
        running = engine.place(now);
    }
    return started;
}

homes::answer_ptr make_answer(unsigned tasks)
{
    homes::kept_answer answer;
    answer.ran = ran_state::ran;
    answer.http_status = 200;
    answer.body = std::to_string(tasks) + " tasks";
    return std::make_shared<homes::kept_answer const>(std::move(answer));
}

/// Submits the same id twice. Returns the total number of tasks that ran.
unsigned submit_twice(homes::submission_table& table,
                      placement::any_engine& engine, time_point now)
{
    homes::submission_id const id{table.current_token(), "order-17"};
    auto const digest = homes::digest_of(
        {homes::submission_kind::job, "orderdesk", "chalk", false, {}});
    unsigned started = 0;
    for (int copy = 1; copy <= 2; ++copy)
    {
        auto const decision = table.admit(id, digest, now);
        std::printf("copy %d: %s\n", copy,
                    std::string(homes::name_of(decision.kind)).c_str());
        if (decision.kind != homes::decision_kind::start)
            continue;
        placement::job_request job{decision.number, "orderdesk",
                                   std::vector<float>(job_tasks, 1.0F),
                                   now + job_timeout};
        if (!engine.admit(job, now).accepted())
            continue;
        started += run_tasks(engine, now);
        table.finish(id, make_answer(started), now);
    }
    return started;
}

} // namespace

int main()
{
    time_point const now{std::chrono::hours(1)};
    auto table = make_table(now);
    auto engine = make_engine(now);
    if (!engine)
        return EXIT_FAILURE;
    auto const started = submit_twice(table, *engine, now);
    std::printf("%u tasks ran\n", started);
    return started == job_tasks ? EXIT_SUCCESS : EXIT_FAILURE;
}
