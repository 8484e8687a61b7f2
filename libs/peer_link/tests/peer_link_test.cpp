#include "event_loop.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace masticshift;
using namespace masticshift::peer_link;
using namespace masticshift::peer_link::test;

namespace
{

constexpr std::uint64_t seed = 4;

/// A server and a client on one event loop.
struct linked_pair
{
    explicit linked_pair(peer_handler handler,
                         peer_server_limits server_limits = {},
                         peer_client_limits client_limits = {})
        : server(context.get_executor(), server_limits, std::move(handler)),
          client(context.get_executor(), client_limits, seed)
    {
        REQUIRE(server.listen(loopback, 0).has_value());
        address = {loopback, server.port()};
    }

    asio::io_context context;
    peer_server server;
    peer_client client;
    config::socket_address address;
};

asio::awaitable<wire::message> answer_with_id(wire::message call)
{
    wire::forward_reply reply;
    reply.detail = call.forward_call.id;
    co_return make_message(std::move(reply));
}

/// A listening socket whose connections the test serves itself.
struct raw_listener
{
    explicit raw_listener(asio::io_context& context)
        : acceptor(context, {asio::ip::make_address(loopback), 0})
    {
    }

    config::socket_address address() const
    {
        return {loopback, acceptor.local_endpoint().port()};
    }

    asio::ip::tcp::acceptor acceptor;
};

asio::awaitable<wire::envelope> read_envelope(asio::ip::tcp::socket& socket)
{
    frame_header header{};
    co_await asio::async_read(socket, asio::buffer(header),
                              asio::use_awaitable);
    std::vector<std::uint8_t> payload(*decode_frame_header(header));
    co_await asio::async_read(socket, asio::buffer(payload),
                              asio::use_awaitable);
    co_return *decode_payload(payload);
}

asio::awaitable<void> write_answer(asio::ip::tcp::socket& socket,
                                   std::int64_t correlation,
                                   wire::message content)
{
    wire::envelope envelope;
    envelope.correlation = correlation;
    envelope.content = std::move(content);
    auto const frame = *encode_frame(envelope);
    co_await asio::async_write(socket, asio::buffer(frame),
                               asio::use_awaitable);
}

} // namespace

TEST_CASE("responses are matched to their calls when they arrive out of order")
{
    std::size_t waiting = 0;
    bool released = false;
    auto const handler =
        [&](wire::message call) -> asio::awaitable<wire::message>
    {
        if (call.forward_call.id == "slow")
        {
            ++waiting;
            co_await until(
                [&]
                {
                    return released;
                });
        }
        co_return co_await answer_with_id(std::move(call));
    };
    linked_pair pair(handler);
    std::optional<call_result> slow;
    auto const slow_call = [&]() -> asio::awaitable<void>
    {
        slow = co_await pair.client.call(pair.address, forward_call("slow"),
                                         far_deadline());
    };
    auto const body = [&]() -> asio::awaitable<void>
    {
        asio::co_spawn(pair.context, slow_call(), asio::detached);
        co_await until(
            [&]
            {
                return waiting == 1;
            });
        for (auto const* id : {"a", "b", "c"})
        {
            auto const quick = co_await pair.client.call(
                pair.address, forward_call(id), far_deadline());
            CHECK(quick->forward_answer.detail == id);
        }
        CHECK_FALSE(slow);
        CHECK(pair.server.calls() == 1);
        released = true;
        co_await until(
            [&]
            {
                return slow.has_value();
            });
        CHECK((*slow)->forward_answer.detail == "slow");
        CHECK(pair.client.connections() == 1);
        auto const forwards = message_kind::forward_call;
        CHECK(pair.client.traffic().sent[forwards].messages == 4);
        CHECK(pair.client.traffic().sent[forwards].bytes ==
              pair.server.traffic().received[forwards].bytes);
    };
    run_to_end(pair.context, body());
}

TEST_CASE("a message of 8 MiB is transferred, one above the limit is refused")
{
    linked_pair pair(answer_with_id);
    auto const body = [&]() -> asio::awaitable<void>
    {
        std::string const large(8 << 20, 'x');
        auto const answer = co_await pair.client.call(
            pair.address, forward_call(large), far_deadline());
        CHECK(answer->forward_answer.detail == large);
        auto const too_large = co_await pair.client.call(
            pair.address, forward_call(std::string(17 << 20, 'x')),
            far_deadline());
        CHECK_FALSE(too_large.error().sent);
        CHECK(too_large.error().error.code == result_code::peer_protocol);
    };
    run_to_end(pair.context, body());
}

TEST_CASE("a call that times out with nothing received replaces its connection")
{
    asio::io_context context;
    raw_listener listener(context);
    peer_client client(context.get_executor(), {}, seed);
    auto const body = [&]() -> asio::awaitable<void>
    {
        auto const timed_out =
            co_await client.call(listener.address(), text_call(),
                                 steady_clock::now() + milliseconds{50});
        CHECK(timed_out.error().sent);
        CHECK(timed_out.error().error.code == result_code::deadline_passed);
        auto first =
            co_await listener.acceptor.async_accept(asio::use_awaitable);

        auto const serve = [&]() -> asio::awaitable<void>
        {
            auto second =
                co_await listener.acceptor.async_accept(asio::use_awaitable);
            auto const call = co_await read_envelope(second);
            co_await write_answer(second, call.correlation, text_answer(3));
            co_await until(
                [&]
                {
                    return client.connections() == 0;
                });
        };
        asio::co_spawn(context, serve(), asio::detached);
        auto const fresh = co_await client.call(listener.address(), text_call(),
                                                far_deadline());
        REQUIRE(fresh.has_value());
        CHECK(fresh->fetch_text_answer.revision == 3);
        CHECK(client.traffic().connections_opened == 2);
    };
    run_to_end(context, body());
}

TEST_CASE("a slow handler does not break a connection that acknowledges probes")
{
    peer_client_limits limits;
    limits.receive_timeout = milliseconds{400};
    peer_server* server = nullptr;
    auto const handler =
        [&](wire::message call) -> asio::awaitable<wire::message>
    {
        auto const probes = message_kind::probe_call;
        co_await until(
            [&]
            {
                return server->traffic().received[probes].messages >= 3;
            });
        co_return co_await answer_with_id(std::move(call));
    };
    linked_pair pair(handler, {}, limits);
    server = &pair.server;
    auto const body = [&]() -> asio::awaitable<void>
    {
        auto const answer = co_await pair.client.call(
            pair.address, forward_call("slow"), far_deadline());
        REQUIRE(answer.has_value());
        CHECK(answer->forward_answer.detail == "slow");
    };
    run_to_end(pair.context, body());
}

TEST_CASE("calls on an unresponsive connection fail before their deadline")
{
    asio::io_context context;
    raw_listener listener(context);
    peer_client_limits limits;
    limits.receive_timeout = milliseconds{200};
    peer_client client(context.get_executor(), limits, seed);
    auto const body = [&]() -> asio::awaitable<void>
    {
        auto const lost = co_await client.call(listener.address(), text_call(),
                                               time_point::max());
        CHECK(lost.error().sent);
        CHECK(lost.error().error.code == result_code::peer_unreachable);
        CHECK(client.traffic().timed_out_connections == 1);
    };
    run_to_end(context, body());
}

TEST_CASE(
    "when a peer stops, sent calls fail as sent and later ones as not sent")
{
    bool taken = false;
    auto const handler =
        [&](wire::message call) -> asio::awaitable<wire::message>
    {
        taken = true;
        co_await until(
            [&]
            {
                return !taken;
            });
        co_return co_await answer_with_id(std::move(call));
    };
    linked_pair pair(handler);
    auto const stop_server = [&]() -> asio::awaitable<void>
    {
        co_await until(
            [&]
            {
                return taken;
            });
        pair.server.stop();
    };
    auto const body = [&]() -> asio::awaitable<void>
    {
        asio::co_spawn(pair.context, stop_server(), asio::detached);
        auto const lost = co_await pair.client.call(
            pair.address, forward_call("a"), far_deadline());
        CHECK(lost.error().sent);
        CHECK(lost.error().error.code == result_code::peer_unreachable);
        taken = false;
        auto const refused = co_await pair.client.call(
            pair.address, forward_call("b"), far_deadline());
        CHECK_FALSE(refused.error().sent);
        auto const backed_off = co_await pair.client.call(
            pair.address, forward_call("c"), far_deadline());
        CHECK_FALSE(backed_off.error().sent);
        CHECK(backed_off.error().error.detail.find("back-off") !=
              std::string::npos);

        peer_server again(pair.context.get_executor(), {}, answer_with_id);
        REQUIRE(again.listen(loopback, pair.address.port).has_value());
        bool answered = false;
        for (int i = 0; i < 10'000 && !answered; ++i)
        {
            auto const result = co_await pair.client.call(
                pair.address, forward_call("d"), far_deadline());
            answered = result.has_value();
            co_await pause(milliseconds{1});
        }
        CHECK(answered);
    };
    run_to_end(pair.context, body());
}

TEST_CASE("a malformed frame closes only its own connection")
{
    linked_pair pair(answer_with_id);
    auto const body = [&]() -> asio::awaitable<void>
    {
        auto const before = co_await pair.client.call(
            pair.address, forward_call("a"), far_deadline());
        CHECK(before.has_value());
        std::vector<std::string> const faults{
            std::string("\x00\x00\x00\x00", 4), "GET / HTTP/1.1\r\n\r\n",
            std::string("\x00\x00\x00\x02\xff\xff", 6)};
        for (auto const& fault : faults)
        {
            asio::ip::tcp::socket socket(pair.context);
            co_await socket.async_connect(
                {asio::ip::make_address(loopback), pair.address.port},
                asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(fault),
                                       asio::use_awaitable);
            char byte = 0;
            boost::system::error_code end;
            co_await asio::async_read(
                socket, asio::buffer(&byte, 1),
                asio::redirect_error(asio::use_awaitable, end));
            CHECK(end);
        }
        CHECK(pair.server.traffic().protocol_errors == faults.size());
        auto const after = co_await pair.client.call(
            pair.address, forward_call("b"), far_deadline());
        CHECK(after.has_value());
        CHECK(pair.client.traffic().connections_opened == 1);
    };
    run_to_end(pair.context, body());
}

TEST_CASE(
    "a response of an unexpected kind or to an unknown call is not returned")
{
    asio::io_context context;
    raw_listener listener(context);
    peer_client client(context.get_executor(), {}, seed);
    auto const serve = [&]() -> asio::awaitable<void>
    {
        auto socket =
            co_await listener.acceptor.async_accept(asio::use_awaitable);
        auto const call = co_await read_envelope(socket);
        co_await write_answer(socket, call.correlation + 7, text_answer(1));
        co_await write_answer(socket, call.correlation, forward_call("x"));
        co_await until(
            [&]
            {
                return client.connections() == 0;
            });
    };
    auto const body = [&]() -> asio::awaitable<void>
    {
        asio::co_spawn(context, serve(), asio::detached);
        auto const wrong = co_await client.call(listener.address(), text_call(),
                                                far_deadline());
        CHECK(wrong.error().sent);
        CHECK(wrong.error().error.code == result_code::peer_protocol);
    };
    run_to_end(context, body());
}

TEST_CASE("a call above the server's limit does not reach the handler")
{
    peer_server_limits limits;
    limits.max_calls_per_connection = 1;
    std::size_t handled = 0;
    bool released = false;
    auto const handler =
        [&](wire::message call) -> asio::awaitable<wire::message>
    {
        ++handled;
        co_await until(
            [&]
            {
                return released;
            });
        co_return co_await answer_with_id(std::move(call));
    };
    linked_pair pair(handler, limits);
    bool ended = false;
    auto const first = [&]() -> asio::awaitable<void>
    {
        auto const answer = co_await pair.client.call(
            pair.address, forward_call("a"), far_deadline());
        CHECK(answer.has_value());
        ended = true;
    };
    auto const body = [&]() -> asio::awaitable<void>
    {
        asio::co_spawn(pair.context, first(), asio::detached);
        co_await until(
            [&]
            {
                return handled == 1;
            });
        auto const refused = co_await pair.client.call(
            pair.address, forward_call("b"), far_deadline());
        CHECK_FALSE(refused.error().sent);
        CHECK(refused.error().error.code == result_code::overloaded);
        released = true;
        co_await until(
            [&]
            {
                return ended;
            });
        CHECK(handled == 1);
    };
    run_to_end(pair.context, body());
}

TEST_CASE("a handler that throws fails its call, not the server")
{
    auto const handler =
        [](wire::message call) -> asio::awaitable<wire::message>
    {
        if (call.forward_call.id == "bad")
            throw std::runtime_error("bad");
        co_return co_await answer_with_id(std::move(call));
    };
    linked_pair pair(handler);
    auto const body = [&]() -> asio::awaitable<void>
    {
        auto const bad = co_await pair.client.call(
            pair.address, forward_call("bad"), far_deadline());
        CHECK(bad.error().sent);
        bool answered = false;
        for (int i = 0; i < 1'000 && !answered; ++i)
        {
            auto const good = co_await pair.client.call(
                pair.address, forward_call("good"), far_deadline());
            answered = good.has_value();
            co_await pause(milliseconds{1});
        }
        CHECK(answered);
    };
    run_to_end(pair.context, body());
}

TEST_CASE("an incomplete frame and a connection above the limit are closed")
{
    peer_server_limits limits;
    limits.frame_read = milliseconds{100};
    limits.max_connections = 1;
    linked_pair pair(answer_with_id, limits);
    auto const body = [&]() -> asio::awaitable<void>
    {
        asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(loopback),
                                               pair.address.port);
        asio::ip::tcp::socket first(pair.context);
        asio::ip::tcp::socket second(pair.context);
        co_await first.async_connect(endpoint, asio::use_awaitable);
        co_await until(
            [&]
            {
                return pair.server.connections() == 1;
            });
        co_await second.async_connect(endpoint, asio::use_awaitable);
        char byte = 0;
        boost::system::error_code end;
        co_await asio::async_read(
            second, asio::buffer(&byte, 1),
            asio::redirect_error(asio::use_awaitable, end));
        CHECK(end);
        CHECK(pair.server.connections() == 1);
        std::string const part("\x00\x00\x00\x09z", 5);
        co_await asio::async_write(first, asio::buffer(part),
                                   asio::use_awaitable);
        co_await until(
            [&]
            {
                return pair.server.connections() == 0;
            });
    };
    run_to_end(pair.context, body());
}

TEST_CASE("stopping a client fails its calls and leaves no work on the loop")
{
    asio::io_context context;
    raw_listener listener(context);
    peer_client client(context.get_executor(), {}, seed);
    std::optional<call_result> result;
    auto const call = [&]() -> asio::awaitable<void>
    {
        result = co_await client.call(listener.address(), text_call(),
                                      time_point::max());
    };
    asio::co_spawn(context, call(), asio::detached);
    auto const body = [&]() -> asio::awaitable<void>
    {
        auto const text = message_kind::fetch_text_call;
        co_await until(
            [&]
            {
                return client.traffic().sent[text].messages == 1;
            });
        client.stop();
        auto const later = co_await client.call(listener.address(), text_call(),
                                                far_deadline());
        CHECK_FALSE(later.error().sent);
    };
    run_to_end(context, body());
    context.run_for(hang_limit);
    CHECK(context.stopped());
    CHECK(result->error().sent);
}
