#include "entry_process.hpp"

using namespace entry_test;

namespace
{

/// A ready entry, with a background caller that submits jobs to it.
struct fixture
{
    explicit fixture(entry_options const& options = {})
        : tested(configured().folder, environment.platform_port, options)
    {
    }

    entry const& wait_until_ready() const
    {
        REQUIRE(eventually(
            [this]
            {
                return tested.ready();
            }));
        return tested;
    }

    test_environment& configured()
    {
        environment.configure();
        return environment;
    }

    /// Checks a refusal, and that the jobs of the background caller still
    /// succeed.
    void check(http_response const& answer, unsigned status, int code,
               std::string const& ran)
    {
        INFO(answer.head, answer.body);
        CHECK(answer.status() == status);
        CHECK(answer.value("code") == std::to_string(code));
        CHECK(answer.value("ran") == ran);
        CHECK(answer.field("Masticshift-Home") != "");
        CHECK(background.still_succeeds());
    }

    test_environment environment;
    entry tested;
    background_caller background{wait_until_ready()};
};

std::string tasks_of(std::size_t count)
{
    std::string tasks;
    for (std::size_t i = 0; i < count; ++i)
        tasks += i == 0 ? R"({"input":1})" : R"(,{"input":1})";
    return R"({"service":"echo","tasks":[)" + tasks + "]}";
}

} // namespace

TEST_CASE("malformed and oversized bodies are refused")
{
    fixture f;
    for (auto const* body :
         {"", "{", "[]", "null", R"({"service":"echo"})",
          R"({"service":"echo","tasks":[]})",
          R"({"service":"echo","tasks":[{}]})",
          R"({"service":"echo","tasks":[{"input":1}],"more":1})",
          R"({"service":"echo","tasks":[{"input":1}],"timeout_ms":-1})",
          R"({"service":7,"tasks":[{"input":1}]})", "\xff\xfe{}"})
    {
        INFO(body);
        f.check(f.tested.submit(body), 400, 100, "unknown");
    }
    std::string const deep(10'000, '[');
    f.check(f.tested.submit(deep), 400, 100, "unknown");
    f.check(f.tested.submit(tasks_of(891)), 400, 108, "unknown");
    f.check(f.tested.submit(std::string(20'001, ' ')), 413, 101, "unknown");
    CHECK(f.tested.submit(tasks_of(890)).value("code") == "0");
}

TEST_CASE("services, paths and methods that do not exist are refused")
{
    fixture f;
    auto const port = f.tested.caller_port;
    f.check(f.tested.submit(R"({"service":"none","tasks":[{"input":1}]})"), 404,
            102, "not_run");
    f.check(call(port, "POST", "/v1/requests/none", "1"), 404, 102, "not_run");
    f.check(call(port, "GET", "/v2/jobs"), 404, 112, "unknown");
    f.check(call(port, "GET", "/"), 404, 112, "unknown");
    f.check(call(port, "POST", "/v1/home"), 405, 111, "unknown");
    f.check(call(port, "GET", "/v1/jobs"), 405, 111, "unknown");
    f.check(call(port, "PUT", "/v1/jobs/a"), 405, 111, "unknown");
    f.check(call(port, "GET", "/v1/requests/echo"), 405, 111, "unknown");
    f.check(call(port, "POST", "/v1/requests/echo", "1",
                 "Masticshift-Timeout-Ms: soon\r\n"),
            400, 100, "unknown");
}

TEST_CASE("ids that are malformed, unknown or reused are refused")
{
    fixture f;
    auto const port = f.tested.caller_port;
    f.check(f.tested.submit(job_body("nonsense")), 400, 104, "not_run");
    f.check(call(port, "GET", "/v1/jobs/nonsense"), 400, 104, "not_run");
    f.check(call(port, "DELETE", "/v1/jobs/%20.%20"), 400, 104, "not_run");
    auto const id = f.tested.new_id("first");
    f.check(call(port, "GET", "/v1/jobs/" + id), 404, 103, "unknown");
    f.check(call(port, "DELETE", "/v1/jobs/" + id), 404, 103, "unknown");
    f.check(call(port, "GET", "/v1/jobs/" + id + "?wait_ms=-1"), 400, 100,
            "unknown");
    auto const first = f.tested.submit(job_body(id));
    CHECK(first.value("code") == "0");
    CHECK(f.tested.submit(job_body(id)).body == first.body);
    f.check(f.tested.submit(job_body(id, 2)), 409, 105, "ran");
}

TEST_CASE("a job is refused when no reachable entry is the home of its id")
{
    fixture f;
    auto const earlier_incarnation =
        on_loopback(f.tested.peer_port) + "~0000000000000001~1.nonce";
    f.check(f.tested.submit(job_body(earlier_incarnation)), 502, 307,
            "unknown");
    auto const unknown_entry =
        on_loopback(free_port()) + "~0000000000000001~1.nonce";
    f.check(f.tested.submit(job_body(unknown_entry)), 502, 307, "unknown");
    f.check(call(f.tested.caller_port, "GET", "/v1/jobs/" + unknown_entry), 502,
            307, "unknown");
}

TEST_CASE("whether a job ran is unknown when its home is an unreachable peer")
{
    auto const dead = free_port();
    entry_options options;
    options.peers = {dead};
    fixture f(options);
    auto const id = on_loopback(dead) + "~0000000000000001~1.nonce";
    f.check(f.tested.submit(job_body(id)), 502, 307, "unknown");
}

TEST_CASE("a home token that no entry issued is refused")
{
    entry_options options;
    options.key = "a key for tests";
    fixture f(options);
    auto id = f.tested.new_id("nonce");
    CHECK(f.tested.submit(job_body(id)).value("code") == "0");
    auto const mac = id.rfind('~') + 1;
    id[mac] = id[mac] == '0' ? '1' : '0';
    f.check(f.tested.submit(job_body(id)), 403, 113, "not_run");
    id.erase(mac - 1, id.rfind('.') - mac + 1);
    f.check(f.tested.submit(job_body(id)), 403, 113, "not_run");
}

TEST_CASE("oversized headers and incomplete requests are refused")
{
    fixture f;
    auto const port = f.tested.caller_port;
    std::string flood = "GET /v1/home HTTP/1.1\r\n";
    for (int i = 0; i < 10'000; ++i)
        flood += "Field-" + std::to_string(i) + ": value\r\n";
    f.check(parse_response(send_raw(port, flood)), 431, 109, "unknown");
    std::string const half =
        "POST /v1/jobs HTTP/1.1\r\nContent-Length: 100\r\n\r\n{";
    f.check(parse_response(send_raw(port, half)), 408, 110, "unknown");
    f.check(parse_response(send_raw(port, "GET /v1/ho")), 408, 110, "unknown");
    f.check(parse_response(send_raw(port, "nonsense\r\n\r\n")), 400, 100,
            "unknown");
    CHECK(send_raw(port, "").empty());
    CHECK(f.background.still_succeeds());
}

TEST_CASE("an id cannot add header fields to the response")
{
    fixture f;
    auto const target = "/v1/jobs/a%0d%0aInjected:%20yes";
    auto const answer = call(f.tested.caller_port, "GET", target);
    CHECK_FALSE(contains(answer.head, "Injected"));
    f.check(answer, 400, 104, "not_run");
    auto const in_body = f.tested.submit(job_body(R"(a\r\nInjected: yes)"));
    CHECK_FALSE(contains(in_body.head, "Injected"));
    f.check(in_body, 400, 104, "not_run");
    f.check(f.tested.submit(job_body(std::string(15'000, 'a'))), 400, 104,
            "not_run");
}

TEST_CASE("an entry without a configuration refuses jobs")
{
    test_environment environment;
    entry tested(environment.folder, environment.platform_port);
    CHECK_FALSE(tested.ready());
    auto const id = tested.new_id("early");
    auto const answer = tested.submit(job_body(id));
    CHECK(answer.status() == 503);
    CHECK(answer.value("code") == "205");
    CHECK(answer.value("ran") == "not_run");
    environment.configure();
    REQUIRE(eventually(
        [&]
        {
            return tested.ready();
        }));
    // The first answer stated that the job did not run, so it must never run
    // under this id.
    CHECK(tested.submit(job_body(id)).body == answer.body);
    CHECK(tested.submit(job_body(tested.new_id("later"))).value("code") == "0");
}
