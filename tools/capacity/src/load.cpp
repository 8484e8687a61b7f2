// Open-loop load: sends jobs to one entry at a fixed rate, independently of how
// long the answers take.

#include <config/daemon_settings.hpp>
#include <transport/http_client.hpp>

#include <boost/asio.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <string>

DEFINE_string(entry, "", "caller address of the entry, IP:PORT");
DEFINE_string(service, "orderdesk", "service that the jobs are for");
DEFINE_uint32(rate, 20, "jobs per second");
DEFINE_uint32(tasks, 10, "tasks per job");
DEFINE_uint32(seconds, 5, "time in seconds for which jobs are sent");

namespace
{

namespace asio = boost::asio;
using namespace masticshift;

constexpr std::chrono::seconds call_timeout{10};

struct totals
{
    unsigned sent = 0;
    unsigned complete = 0;
    std::size_t answer_bytes = 0;
};

std::string make_job_body()
{
    std::string body = "{\"service\":\"" + FLAGS_service + "\",\"tasks\":[";
    for (unsigned i = 0; i < FLAGS_tasks; ++i)
    {
        body += i == 0 ? "" : ",";
        body += R"({"input":{"sku":"chalk-12"}})";
    }
    return body + "]}";
}

asio::awaitable<void> submit(transport::http_client& client,
                             config::socket_address entry, std::string body,
                             totals& counts)
{
    transport::http_request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(body);
    ++counts.sent;
    auto const answer =
        co_await client.call(entry.ip, entry.port, std::move(request),
                             steady_clock::now() + call_timeout);
    if (!answer || answer->status != 200)
    {
        std::fprintf(stderr, "job did not complete with status 200: %s\n",
                     answer ? answer->body.c_str()
                            : answer.error().error.detail.c_str());
        co_return;
    }
    ++counts.complete;
    counts.answer_bytes += answer->body.size();
}

asio::awaitable<void> send_all(transport::http_client& client,
                               config::socket_address entry, totals& counts)
{
    auto const body = make_job_body();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto next = steady_clock::now();
    auto const interval = duration(std::chrono::seconds(1)) / FLAGS_rate;
    for (unsigned i = 0; i < FLAGS_rate * FLAGS_seconds; ++i)
    {
        asio::co_spawn(timer.get_executor(),
                       submit(client, entry, body, counts), asio::detached);
        next += interval;
        timer.expires_after(next - steady_clock::now());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const entry = config::parse_socket_address(FLAGS_entry);
    if (!entry)
        return EXIT_FAILURE;
    asio::io_context context(1);
    transport::http_client client(context.get_executor(), {});
    totals counts;
    asio::co_spawn(context, send_all(client, *entry, counts), asio::detached);
    context.run();
    std::printf("{\"sent\":%u,\"complete\":%u,\"body_bytes\":%zu,"
                "\"answer_bytes\":%zu}\n",
                counts.sent, counts.complete, make_job_body().size(),
                counts.answer_bytes);
    return counts.complete == counts.sent ? EXIT_SUCCESS : EXIT_FAILURE;
}
