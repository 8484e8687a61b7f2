#include <transport/http_client.hpp>

#include "beast_types.hpp"

#include <algorithm>
#include <map>
#include <netinet/tcp.h>
#include <ostream>
#include <vector>

namespace masticshift::transport
{

namespace
{

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

struct connection
{
    explicit connection(asio::any_io_executor const& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idle_since;
    /// Identifies the server process that it leads to; 0 if that is unknown.
    std::int64_t server = 0;
};

using connection_ptr = std::unique_ptr<connection>;

/// The connections to one address.
struct pool
{
    /// Idle connections for reuse, the most recently used last.
    std::vector<connection_ptr> pooled;
    unsigned in_use = 0;
    /// 0: no limit.
    unsigned max_connections = 0;

    unsigned open() const
    {
        return in_use + static_cast<unsigned>(pooled.size());
    }
};

/// Counts a connection as in use while a call lasts.
class in_use_guard
{
public:
    explicit in_use_guard(std::shared_ptr<pool> owner)
        : owner_(std::move(owner))
    {
        ++owner_->in_use;
    }

    ~in_use_guard()
    {
        --owner_->in_use;
    }

    in_use_guard(in_use_guard const&) = delete;
    in_use_guard& operator=(in_use_guard const&) = delete;

private:
    std::shared_ptr<pool> owner_;
};

/// Whether nothing was received on a pooled connection since its last response.
/// Unexpected bytes or an end of stream mean that the server no longer serves
/// it.
bool is_reusable(connection& pooled)
{
    auto& socket = pooled.stream.socket();
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

call_failure failed(call_stage stage, result_code code, std::string detail)
{
    return {stage, {code, std::move(detail)}};
}

result_code code_of(beast::error_code error)
{
    if (error == asio::error::connection_refused)
        return result_code::peer_unreachable;
    if (error == beast::error::timeout)
        return result_code::deadline_passed;
    if (error == http::error::body_limit)
        return result_code::answer_too_large;
    return result_code::io_error;
}

/// Beast throws for a field of 64 KB.
constexpr std::size_t longest_request_header = 60'000;

bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::ranges::all_of(text,
                               [&](char c)
                               {
                                   return (c >= 'a' && c <= 'z') ||
                                          (c >= 'A' && c <= 'Z') ||
                                          (c >= '0' && c <= '9') ||
                                          marks.find(c) != marks.npos;
                               });
}

bool is_target(std::string_view text)
{
    constexpr unsigned char del = 0x7f;
    return !text.empty() &&
           std::ranges::all_of(text,
                               [](char c)
                               {
                                   auto const byte =
                                       static_cast<unsigned char>(c);
                                   return byte > ' ' && byte != del;
                               });
}

bool is_field_value(std::string_view text)
{
    constexpr std::string_view line_ends("\r\n\0", 3);
    return text.find_first_of(line_ends) == text.npos;
}

/// Whether a request can be sent without a change of its meaning.
bool is_valid(http_request const& request)
{
    auto bytes = request.method.size() + request.target.size();
    for (auto const& field : request.fields.list)
    {
        bytes += field.name.size() + field.value.size();
        if (!is_token(field.name) || !is_field_value(field.value))
            return false;
    }
    return bytes <= longest_request_header && is_token(request.method) &&
           is_target(request.target);
}

http::request<http::string_body> make_message(http_request request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (auto const& field : request.fields.list)
        message.set(field.name, field.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

std::string_view name_of(call_stage stage)
{
    switch (stage)
    {
    case call_stage::unidentified:
        return "unidentified";
    case call_stage::not_connected:
        return "not connected";
    case call_stage::not_written:
        return "not written";
    case call_stage::written:
        break;
    }
    return "written";
}

std::ostream& operator<<(std::ostream& out, call_failure const& failed)
{
    return out << failed.error << " (" << name_of(failed.stage) << ")";
}

class http_client::impl
{
public:
    impl(asio::any_io_executor executor, http_client_limits limits)
        : executor_(std::move(executor)), limits_(limits)
    {
    }

    static asio::awaitable<call_result>
    call(std::shared_ptr<impl> self, std::string ip, std::uint16_t port,
         http_request request, time_point deadline, call_checks checks)
    {
        if (!is_valid(request))
            co_return failed(call_stage::not_connected,
                             result_code::malformed_request,
                             "method, target or a field can't be sent");
        auto const shared_pool = self->pool_of(ip, port);
        auto used = take_pooled(*shared_pool, self->limits_.idle,
                                checks.required_server);
        if (!used && checks.required_server != 0)
            co_return failed(call_stage::unidentified, result_code::cancelled,
                             "no connection to the required server process");
        in_use_guard const counted(shared_pool);
        if (!used)
        {
            auto connected =
                co_await self->connect(*shared_pool, ip, port, deadline);
            if (!connected)
                co_return connected.error();
            used = std::move(*connected);
        }
        auto const now = steady_clock::now();
        if (now >= deadline)
            co_return failed(call_stage::not_written,
                             result_code::deadline_passed,
                             "the deadline has passed");
        if (checks.may_send && !checks.may_send(now))
            co_return failed(call_stage::not_written, result_code::cancelled,
                             "cancelled before sending");
        if (request.fields["Host"].empty())
            request.fields.set("Host", ip + ":" + std::to_string(port));
        auto result = co_await self->exchange(
            *used, make_message(std::move(request)), deadline);
        if (result && checks.may_reuse_connection &&
            !checks.may_reuse_connection(*result))
            used->stream.close();
        if (result && checks.identify_server)
        {
            if (auto const server = checks.identify_server(*result))
                used->server = server;
        }
        if (result && used->stream.socket().is_open())
        {
            used->idle_since = steady_clock::now();
            shared_pool->pooled.push_back(std::move(used));
        }
        co_return result;
    }

    unsigned connections(std::string const& ip, std::uint16_t port) const
    {
        auto const found = pools_.find({ip, port});
        return found == pools_.end() ? 0 : found->second->open();
    }

    void set_max_connections(std::string const& ip, std::uint16_t port,
                             unsigned limit)
    {
        pool_of(ip, port)->max_connections = limit;
    }

    void close_pooled(std::string const& ip, std::uint16_t port,
                      time_point since)
    {
        auto const found = pools_.find({ip, port});
        if (found == pools_.end())
            return;
        std::erase_if(found->second->pooled,
                      [&](connection_ptr const& pooled)
                      {
                          return pooled->idle_since < since;
                      });
    }

    void close_idle(time_point now)
    {
        for (auto const& [address, shared_pool] : pools_)
        {
            std::erase_if(shared_pool->pooled,
                          [&](connection_ptr const& pooled)
                          {
                              return now - pooled->idle_since > limits_.idle;
                          });
        }
    }

private:
    using address = std::pair<std::string, std::uint16_t>;

    std::shared_ptr<pool> pool_of(std::string const& ip, std::uint16_t port)
    {
        auto& found = pools_[{ip, port}];
        if (!found)
        {
            found = std::make_shared<pool>();
            found->max_connections = limits_.max_connections;
        }
        return found;
    }

    /// Takes the most recently used pooled connection that can still be used.
    /// `server`: leads to this server process; 0 for any.
    static connection_ptr take_pooled(pool& from, duration max_idle,
                                      std::int64_t server)
    {
        auto const now = steady_clock::now();
        auto& pooled = from.pooled;
        for (auto place = pooled.size(); place > 0; --place)
        {
            auto const each =
                pooled.begin() + static_cast<std::ptrdiff_t>(place - 1);
            if (server != 0 && (*each)->server != server)
                continue;
            auto latest = std::move(*each);
            pooled.erase(each);
            if (now - latest->idle_since <= max_idle && is_reusable(*latest))
                return latest;
        }
        return nullptr;
    }

    asio::awaitable<boost::system::result<connection_ptr, call_failure>>
    connect(pool const& from, std::string const& ip, std::uint16_t port,
            time_point deadline)
    {
        // The use by this call is already counted.
        if (from.max_connections != 0 && from.open() > from.max_connections)
            co_return failed(
                call_stage::not_connected, result_code::too_many_connections,
                "the limit of connections to this address is reached");
        beast::error_code error;
        tcp::endpoint const target(asio::ip::make_address(ip, error), port);
        if (error)
            co_return failed(call_stage::not_connected, result_code::io_error,
                             error.message());
        auto created = std::make_unique<connection>(executor_);
        created->stream.expires_after(std::min<duration>(
            deadline - steady_clock::now(), limits_.connect));
        auto [connect_error] =
            co_await created->stream.async_connect(target, as_values);
        if (connect_error)
            co_return failed(call_stage::not_connected, code_of(connect_error),
                             connect_error.message());
        set_options(created->stream.socket());
        co_return created;
    }

    void set_options(tcp::socket& socket) const
    {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto const timeout = static_cast<int>(limits_.unacknowledged.count());
        socket.set_option(user_timeout(timeout), ignored);
    }

    asio::awaitable<call_result>
    exchange(connection& used, http::request<http::string_body> message,
             time_point deadline)
    {
        used.stream.expires_after(deadline - steady_clock::now());
        auto [write_error, sent] =
            co_await http::async_write(used.stream, message, as_values);
        if (write_error)
        {
            auto const stage =
                sent == 0 ? call_stage::not_written : call_stage::written;
            co_return failed(stage, code_of(write_error),
                             "while sending: " + write_error.message());
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(limits_.max_body_bytes);
        parser.header_limit(
            static_cast<std::uint32_t>(limits_.max_header_bytes));
        auto [read_error, received] = co_await http::async_read(
            used.stream, used.buffer, parser, as_values);
        if (read_error)
            co_return failed(call_stage::written, code_of(read_error),
                             "while waiting for the response: " +
                                 read_error.message());
        co_return take_response(used, parser);
    }

    static http_response
    take_response(connection& used,
                  http::response_parser<http::string_body>& parser)
    {
        bool const keep = parser.keep_alive() && used.buffer.size() == 0;
        auto message = parser.release();
        http_response response;
        response.status = message.result_int();
        response.fields = copy_fields(message);
        response.body = std::move(message.body());
        if (!keep)
            used.stream.close();
        return response;
    }

    asio::any_io_executor executor_;
    http_client_limits limits_;
    std::map<address, std::shared_ptr<pool>> pools_;
};

http_client::http_client(asio::any_io_executor executor,
                         http_client_limits limits)
    : impl_(std::make_shared<impl>(std::move(executor), limits))
{
}

http_client::~http_client() = default;

asio::awaitable<call_result>
http_client::call(std::string ip, std::uint16_t port, http_request request,
                  time_point deadline, call_checks checks)
{
    return impl::call(impl_, std::move(ip), port, std::move(request), deadline,
                      std::move(checks));
}

unsigned http_client::connections(std::string const& ip,
                                  std::uint16_t port) const
{
    return impl_->connections(ip, port);
}

void http_client::set_max_connections(std::string const& ip, std::uint16_t port,
                                      unsigned limit)
{
    impl_->set_max_connections(ip, port, limit);
}

void http_client::close_pooled(std::string const& ip, std::uint16_t port,
                               time_point since)
{
    impl_->close_pooled(ip, port, since);
}

void http_client::close_idle(time_point now)
{
    impl_->close_idle(now);
}

} // namespace masticshift::transport
