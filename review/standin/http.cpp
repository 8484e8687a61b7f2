#include "http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <thread>

namespace review
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

std::string percent_decode(std::string const& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            decoded += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(std::string const& text)
{
    std::map<std::string, std::string> query;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        auto const end = std::min(text.find('&', begin), text.size());
        auto const pair = text.substr(begin, end - begin);
        auto const equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] =
                percent_decode(pair.substr(equals + 1));
        begin = end + 1;
    }
    return query;
}

http_request convert(http::request<http::string_body> const& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    std::string const target(message.target());
    auto const mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = parse_query(target.substr(mark + 1));
    for (auto const& field : message)
        request.headers[std::string(field.name_string())] =
            std::string(field.value());
    request.body = message.body();
    return request;
}

void serve_connection(tcp::socket& socket, http_handler const& handler)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    while (!error)
    {
        http::request<http::string_body> message;
        http::read(socket, buffer, message, error);
        if (error)
            return;
        auto const answer = handler(convert(message));
        if (!answer)
            return;
        http::response<http::string_body> response;
        response.version(message.version());
        response.result(answer->status);
        response.set(http::field::content_type, "application/json");
        response.body() = answer->body;
        response.keep_alive(message.keep_alive());
        response.prepare_payload();
        http::write(socket, response, error);
        if (!message.keep_alive())
            return;
    }
}

int milliseconds_until(std::chrono::steady_clock::time_point end)
{
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool connect_within(int socket, std::uint16_t port, int timeout_ms)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0)
        return true;
    pollfd waited{socket, POLLOUT, 0};
    if (::poll(&waited, 1, timeout_ms) <= 0)
        return false;
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0;
}

call_result read_response(int socket, std::chrono::steady_clock::time_point end)
{
    http::response_parser<http::string_body> parser;
    std::string received;
    beast::error_code error;
    while (!parser.is_done())
    {
        pollfd waited{socket, POLLIN, 0};
        if (::poll(&waited, 1, milliseconds_until(end)) <= 0)
            return {0, {}, "timeout"};
        char bytes[4096];
        auto const count = ::recv(socket, bytes, sizeof(bytes), 0);
        if (count < 0)
            return {0, {}, "connection reset"};
        if (count == 0)
            return {0, {}, "connection closed"};
        received.append(bytes, static_cast<std::size_t>(count));
        std::size_t used = 1;
        while (used > 0 && !received.empty() && !parser.is_done())
        {
            error = {};
            used = parser.put(asio::buffer(received), error);
            received.erase(0, used);
            if (error && error != http::error::need_more)
                return {0, {}, "malformed response"};
            if (error)
                break;
        }
    }
    return {parser.get().result_int(), parser.get().body(), {}};
}

} // namespace

std::uint16_t serve_http(http_handler handler)
{
    auto const context = std::make_shared<asio::io_context>();
    auto const acceptor = std::make_shared<tcp::acceptor>(
        *context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    auto const port = acceptor->local_endpoint().port();
    std::thread(
        [context, acceptor, handler = std::move(handler)]
        {
            for (;;)
            {
                auto const socket = std::make_shared<tcp::socket>(*context);
                beast::error_code error;
                acceptor->accept(*socket, error);
                if (!error)
                    std::thread(
                        [socket, handler]
                        {
                            serve_connection(*socket, handler);
                        })
                        .detach();
            }
        })
        .detach();
    return port;
}

call_result call_http(std::uint16_t port, std::string const& method,
                      std::string const& target,
                      std::map<std::string, std::string> const& headers,
                      std::string const& body, int timeout_ms)
{
    auto const end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(timeout_ms);
    auto const socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return {0, {}, "no socket"};
    call_result result{0, {}, "not connected"};
    if (connect_within(socket, port, timeout_ms))
    {
        int const on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto text = method + " " + target + " HTTP/1.1\r\n";
        for (auto const& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        text += body;
        auto const sent =
            ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
        result = sent == static_cast<ssize_t>(text.size())
                     ? read_response(socket, end)
                     : call_result{0, {}, "not sent"};
    }
    ::close(socket);
    return result;
}

} // namespace review
