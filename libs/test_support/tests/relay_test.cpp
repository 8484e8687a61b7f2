#include <test_support/blocking_client.hpp>
#include <test_support/child_process.hpp>
#include <test_support/relay.hpp>
#include <test_support/scratch_folder.hpp>

#include <doctest/doctest.h>

#include <sys/wait.h>

#include <csignal>

using namespace masticshift;
using namespace masticshift::test_support;

namespace
{

constexpr milliseconds timeout{10'000};
constexpr milliseconds short_timeout{100};

/// An endpoint process behind a relay.
struct fixture
{
    scratch_folder folder;
    child_process process;
    config::socket_address target;
    network_thread network;
    std::unique_ptr<relay> link;
    std::unique_ptr<blocking_client> client;

    fixture()
    {
        auto started =
            child_process::start({MASTICSHIFT_BIN_DIR "/endpoint_standin",
                                  "--listen", "127.0.0.1:0"},
                                 folder.file("err"));
        REQUIRE(started.has_value());
        process = *std::move(started);
        auto const lines = process.read_until("ready", timeout);
        REQUIRE(lines.has_value());
        auto const& first = lines->front();
        target =
            config::parse_socket_address(first.substr(first.rfind(' ') + 1))
                .value();
        link = std::make_unique<relay>(network, target);
        client = std::make_unique<blocking_client>(network);
    }

    transport::call_result call(milliseconds call_timeout = timeout)
    {
        transport::http_request request;
        request.target = "/absent";
        return client->call(link->address(), std::move(request), call_timeout);
    }
};

} // namespace

TEST_CASE("a relay passes calls on, and refuses them while it is cut")
{
    fixture setup;
    CHECK(setup.call()->status == 404);
    setup.link->set(link_state::cut);
    auto const refused = setup.call();
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().stage == transport::call_stage::not_connected);
    setup.link->set(link_state::passing);
    CHECK(setup.call()->status == 404);
}

TEST_CASE(
    "a silent relay loses the data of open connections but not of new ones")
{
    fixture setup;
    CHECK(setup.call()->status == 404);
    setup.link->set(link_state::silent);
    auto const lost = setup.call(short_timeout);
    REQUIRE_FALSE(lost.has_value());
    CHECK(lost.error().stage == transport::call_stage::written);
    CHECK(lost.error().error.code == result_code::deadline_passed);
    CHECK(setup.call()->status == 404);
}

// A refused connection and one that is reset are different errors to a caller.
TEST_CASE("a resetting relay accepts connections and ends open and new ones")
{
    fixture setup;
    CHECK(setup.call()->status == 404);
    setup.link->set(link_state::resetting);
    for (int i = 0; i < 2; ++i)
    {
        auto const reset = setup.call();
        REQUIRE_FALSE(reset.has_value());
        CHECK(reset.error().stage == transport::call_stage::written);
    }
    setup.link->set(link_state::passing);
    CHECK(setup.call()->status == 404);
}

// The endpoint must get the request although its caller hears nothing.
TEST_CASE("a one-way relay loses the responses only")
{
    fixture setup;
    CHECK(setup.call()->status == 404);
    setup.link->set(link_state::one_way);
    auto const lost = setup.call(short_timeout);
    REQUIRE_FALSE(lost.has_value());
    CHECK(lost.error().stage == transport::call_stage::written);
    CHECK(lost.error().error.code == result_code::deadline_passed);
    setup.link->set(link_state::passing);
    CHECK(setup.call()->status == 404);
}

TEST_CASE("a killed process reports the signal, and calls to its port fail")
{
    fixture setup;
    setup.process.signal(SIGSTOP);
    CHECK_FALSE(setup.process.wait(short_timeout).has_value());
    setup.process.kill();
    auto const status = setup.process.wait(timeout);
    REQUIRE(status.has_value());
    CHECK(WTERMSIG(*status) == SIGKILL);
    CHECK_FALSE(setup.call().has_value());
}

TEST_CASE("a program that is missing or exits at once is reported as not ready")
{
    scratch_folder folder;
    CHECK_FALSE(
        child_process::start({"/nonexistent/program"}, folder.file("err"))
            .has_value());
    auto started = child_process::start(
        {MASTICSHIFT_BIN_DIR "/endpoint_standin", "--speed", "0"},
        folder.file("err"));
    REQUIRE(started.has_value());
    CHECK_FALSE(started->read_until("ready", timeout).has_value());
}
