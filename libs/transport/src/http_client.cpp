#include <transport/http_client.hpp>

#include "beast_types.hpp"

#include <algorithm>
#include <array>
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
        : stream(executor), deadline(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Ends the wait for a response without closing the connection.
    asio::steady_timer deadline;
    /// Number of the present wait.
    unsigned waits = 0;
    bool timed_out = false;
    time_point idle_since;
    /// Identifies the server process that it leads to; 0 if that is unknown.
    std::int64_t server = 0;
};

using connection_ptr = std::shared_ptr<connection>;

/// Maximum number of connections to one address that stay open for a late
/// response.
constexpr unsigned max_late = 8;

constexpr milliseconds late_read_margin{100};

constexpr std::array<std::string_view, connection_causes> cause_names{
    "first",     "parallel", "unanswered",   "closed",
    "suspected", "idle",     "not_connected"};

/// The connections to one address.
struct pool
{
    explicit pool(asio::any_io_executor const& executor)
        : changed(executor, asio::steady_timer::time_point::max())
    {
    }

    /// Idle connections for reuse, the most recently used last.
    std::vector<connection_ptr> pooled;
    unsigned in_use = 0;
    /// 0: no limit.
    unsigned max_connections = 0;

    /// Calls in use that hold their connection for long.
    unsigned holding = 0;
    /// Connections that are kept open for a late response.
    unsigned late = 0;
    /// When the newest attempt to connect began.
    time_point attempted{};
    /// It was refused: nothing that is sent arrives.
    bool refused = false;
    /// A response has arrived since.
    bool proven = true;
    /// Connections that were lost and not replaced, by cause.
    std::array<unsigned, connection_causes> lost{};
    /// Cancelled when a connection is returned or a call has ended.
    asio::steady_timer changed;

    unsigned open() const
    {
        return in_use + late + static_cast<unsigned>(pooled.size());
    }

    void count_lost(connection_cause cause)
    {
        ++lost.at(static_cast<std::size_t>(cause));
    }

    /// Returns the cause of the next connection and counts it as made.
    connection_cause replace()
    {
        constexpr std::array order{
            connection_cause::not_connected, connection_cause::unanswered,
            connection_cause::suspected, connection_cause::closed,
            connection_cause::idle};
        for (auto const cause : order)
        {
            auto& count = lost.at(static_cast<std::size_t>(cause));
            if (count == 0)
                continue;
            --count;
            return cause;
        }
        // The use by this call is already counted.
        return open() > 1 ? connection_cause::parallel
                          : connection_cause::first;
    }

    void give_back(connection_ptr used)
    {
        used->idle_since = steady_clock::now();
        pooled.push_back(std::move(used));
        changed.cancel();
    }
};

/// Counts a connection as in use while a call lasts.
class in_use_guard
{
public:
    in_use_guard(std::shared_ptr<pool> owner, bool holds)
        : owner_(std::move(owner)), holds_(holds)
    {
        ++owner_->in_use;
        owner_->holding += holds_ ? 1 : 0;
    }

    ~in_use_guard()
    {
        --owner_->in_use;
        owner_->holding -= holds_ ? 1 : 0;
        owner_->changed.cancel();
    }

    in_use_guard(in_use_guard const&) = delete;
    in_use_guard& operator=(in_use_guard const&) = delete;

private:
    std::shared_ptr<pool> owner_;
    bool holds_;
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

std::string_view name_of(connection_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
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
        auto used = co_await take_connection(shared_pool, self->limits_.idle,
                                             checks, deadline);
        if (!used && checks.required_server != 0)
            co_return failed(call_stage::unidentified, result_code::cancelled,
                             "no connection to the required server process");
        if (!used &&
            is_unproven(*shared_pool, checks.connections, steady_clock::now()))
            co_return failed(call_stage::not_connected, result_code::cancelled,
                             "the newest connection has carried no response");
        in_use_guard const counted(shared_pool, checks.connections.holds);
        if (!used)
        {
            auto connected =
                co_await self->connect(*shared_pool, ip, port, deadline);
            if (!connected)
                co_return connected.error();
            used = std::move(*connected);
            // Its response is not due for long.
            if (checks.connections.holds)
                shared_pool->proven = true;
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
        auto result =
            co_await self->exchange(used, make_message(std::move(request)),
                                    deadline, checks.connections.late_response);
        if (!result)
        {
            self->record_lost(shared_pool, used, std::move(checks),
                              result.error().error.code);
            co_return result;
        }
        shared_pool->proven = true;
        if (checks.may_reuse_connection &&
            !checks.may_reuse_connection(*result))
            used->stream.close();
        if (checks.identify_server)
        {
            if (auto const server = checks.identify_server(*result))
                used->server = server;
        }
        if (used->stream.socket().is_open())
            shared_pool->give_back(std::move(used));
        else
            shared_pool->count_lost(connection_cause::closed);
        co_return result;
    }

    void on_connect(std::function<void(connection_cause, bool)> function)
    {
        on_connect_ = std::move(function);
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
        auto const closed = std::erase_if(found->second->pooled,
                                          [&](connection_ptr const& pooled)
                                          {
                                              return pooled->idle_since < since;
                                          });
        for (std::size_t i = 0; i < closed; ++i)
            found->second->count_lost(connection_cause::suspected);
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
            found = std::make_shared<pool>(executor_);
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
            bool const idle = now - latest->idle_since > max_idle;
            if (!idle && is_reusable(*latest))
                return latest;
            from.count_lost(idle ? connection_cause::idle
                                 : connection_cause::closed);
        }
        return nullptr;
    }

    /// Whether no further connection is to be made, because the newest one has
    /// not shown yet that the server responds.
    static bool is_unproven(pool const& of, connection_use const& use,
                            time_point now)
    {
        return !of.proven &&
               now - of.attempted < (of.refused ? use.refused : use.unproven);
    }

    /// Takes a pooled connection, or waits for one as `connection_use` says.
    static asio::awaitable<connection_ptr>
    take_connection(std::shared_ptr<pool> from, duration max_idle,
                    call_checks const& checks, time_point deadline)
    {
        auto const& use = checks.connections;
        bool const identified = checks.required_server != 0;
        auto const patience = steady_clock::now() + use.wait;
        for (;;)
        {
            auto used = take_pooled(*from, max_idle, checks.required_server);
            auto const now = steady_clock::now();
            if (used || now >= deadline)
                co_return used;
            auto until = patience;
            // Without a call under way nothing can prove the newest one.
            if (is_unproven(*from, use, now) && from->in_use + from->late > 0)
            {
                if (!identified)
                    until = from->attempted + use.unproven;
            }
            else if (from->in_use == from->holding)
            {
                co_return nullptr;
            }
            until = std::min(until, deadline);
            if (now >= until)
                co_return nullptr;
            asio::steady_timer limit(from->changed.get_executor(), until - now);
            limit.async_wait(
                [from](beast::error_code error)
                {
                    if (!error)
                        from->changed.cancel();
                });
            co_await from->changed.async_wait(as_values);
        }
    }

    /// Keeps the connection open for a late response, or counts it as lost.
    void record_lost(std::shared_ptr<pool> const& owner,
                     connection_ptr const& used, call_checks checks,
                     result_code reason)
    {
        owner->count_lost(reason == result_code::deadline_passed
                              ? connection_cause::unanswered
                              : connection_cause::closed);
        if (!std::exchange(used->timed_out, false))
            return;
        if (owner->late >= max_late)
        {
            used->stream.close();
            return;
        }
        ++owner->late;
        asio::co_spawn(executor_,
                       await_late(owner, used, std::move(checks), limits_),
                       asio::detached);
    }

    /// Returns the connection to the pool if the response arrives late.
    static asio::awaitable<void> await_late(std::shared_ptr<pool> owner,
                                            connection_ptr used,
                                            call_checks checks,
                                            http_client_limits limits)
    {
        used->stream.expires_after(checks.connections.late_response);
        http::response_parser<http::string_body> parser;
        parser.body_limit(limits.max_body_bytes);
        parser.header_limit(
            static_cast<std::uint32_t>(limits.max_header_bytes));
        auto [error, received] = co_await http::async_read(
            used->stream, used->buffer, parser, as_values);
        --owner->late;
        if (!error)
        {
            auto const response = take_response(*used, parser);
            owner->proven = true;
            if (checks.identify_server)
            {
                if (auto const server = checks.identify_server(response))
                    used->server = server;
            }
        }
        auto& unanswered = owner->lost.at(
            static_cast<std::size_t>(connection_cause::unanswered));
        if (!error && used->stream.socket().is_open())
        {
            // It needs no replacement.
            unanswered -= std::min(unanswered, 1U);
            owner->give_back(std::move(used));
        }
        owner->changed.cancel();
    }

    asio::awaitable<boost::system::result<connection_ptr, call_failure>>
    connect(pool& from, std::string const& ip, std::uint16_t port,
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
        auto created = std::make_shared<connection>(executor_);
        auto const cause = from.replace();
        from.attempted = steady_clock::now();
        from.proven = false;
        from.refused = false;
        created->stream.expires_after(std::min<duration>(
            deadline - steady_clock::now(), limits_.connect));
        auto [connect_error] =
            co_await created->stream.async_connect(target, as_values);
        if (on_connect_)
            on_connect_(cause, !connect_error);
        if (connect_error)
        {
            from.refused = connect_error == asio::error::connection_refused;
            from.count_lost(connection_cause::not_connected);
            co_return failed(call_stage::not_connected, code_of(connect_error),
                             connect_error.message());
        }
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

    /// Ends the read of a response at the deadline, and leaves the connection
    /// open.
    static void limit_read(connection_ptr const& used, time_point deadline)
    {
        auto const left = deadline - steady_clock::now();
        // Closes the connection if the response begins to arrive at the
        // deadline and does not end.
        used->stream.expires_after(left + late_read_margin);
        used->deadline.expires_after(left);
        used->deadline.async_wait(
            [watched = std::weak_ptr<connection>(used),
             wait = ++used->waits](beast::error_code error)
            {
                auto const waiting = watched.lock();
                if (error || !waiting || waiting->waits != wait)
                    return;
                waiting->timed_out = true;
                waiting->stream.cancel();
            });
    }

    /// With `late_response`, a connection on which no byte of the response has
    /// arrived at the deadline stays open, and `timed_out` is set.
    asio::awaitable<call_result>
    exchange(connection_ptr used, http::request<http::string_body> message,
             time_point deadline, milliseconds late_response)
    {
        used->stream.expires_after(deadline - steady_clock::now());
        auto [write_error, sent] =
            co_await http::async_write(used->stream, message, as_values);
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
        if (late_response > milliseconds(0))
            limit_read(used, deadline);
        auto [read_error, received] = co_await http::async_read(
            used->stream, used->buffer, parser, as_values);
        if (late_response > milliseconds(0))
        {
            ++used->waits;
            used->deadline.cancel();
        }
        if (!read_error)
        {
            used->timed_out = false;
            co_return take_response(*used, parser);
        }
        auto const code = used->timed_out ? result_code::deadline_passed
                                          : code_of(read_error);
        if (parser.got_some() || used->buffer.size() > 0 ||
            read_error != asio::error::operation_aborted)
            used->timed_out = false;
        co_return failed(call_stage::written, code,
                         "while waiting for the response: " +
                             read_error.message());
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
    std::function<void(connection_cause, bool)> on_connect_;
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

void http_client::on_connect(
    std::function<void(connection_cause, bool)> function)
{
    impl_->on_connect(std::move(function));
}

void http_client::close_idle(time_point now)
{
    impl_->close_idle(now);
}

} // namespace masticshift::transport
