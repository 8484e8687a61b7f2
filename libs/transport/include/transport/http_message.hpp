#ifndef MASTICSHIFT_TRANSPORT_HTTP_MESSAGE_HPP
#define MASTICSHIFT_TRANSPORT_HTTP_MESSAGE_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticshift::transport
{

/// One header field.
struct http_field
{
    std::string name;
    std::string value;
};

/// Header fields in order. Names are compared case-insensitively.
struct http_fields
{
    std::vector<http_field> list;

    /// The value of the first field of this name, or an empty string.
    std::string_view operator[](std::string_view name) const;
    /// Replaces the value of the first field of this name, or adds a field.
    void set(std::string_view name, std::string_view value);
};

/// Notifies the handler of a request when its client closes the connection
/// before the response is sent.
class disconnect_notifier
{
public:
    /// `watch` starts to watch for the end of the connection; `has_ended` asks
    /// the operating system whether the client has closed it.
    disconnect_notifier(std::function<void()> watch,
                        std::function<bool()> has_ended)
        : watch_(std::move(watch)), has_ended_(std::move(has_ended))
    {
    }

    /// Whether the client has closed the connection. After a pause of this
    /// process, the callback may come after other work.
    bool has_ended() const
    {
        return has_ended_ && has_ended_();
    }

    /// Calls `notify` once if the client disconnects before the request is
    /// answered.
    void on_disconnect(std::function<void()> notify)
    {
        notify_ = std::move(notify);
        if (watch_)
            watch_();
    }

    /// Whether a callback waits for the end of the connection.
    bool watched() const
    {
        return static_cast<bool>(notify_);
    }

    /// Called by the server when the client has closed the connection.
    void notify_disconnected()
    {
        if (auto const notify = std::exchange(notify_, nullptr))
            notify();
    }

    /// Called by the server when the request was answered. Drops the callback.
    void end()
    {
        notify_ = nullptr;
        watch_ = nullptr;
        has_ended_ = nullptr;
    }

private:
    std::function<void()> watch_;
    std::function<bool()> has_ended_;
    std::function<void()> notify_;
};

struct http_request
{
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target = "/";
    http_fields fields;
    std::string body;
    /// Set by the server that received the request.
    std::shared_ptr<disconnect_notifier> caller;
};

struct http_response
{
    unsigned status = 200;
    http_fields fields;
    std::string body;
};

/// The path of a target, without the query.
std::string_view path_of(std::string_view target);

/// The percent-decoded value of a query parameter, or an empty string.
std::string query_parameter(std::string_view target, std::string_view name);

/// Percent-encodes everything but unreserved characters.
std::string percent_encode(std::string_view text);
std::string percent_decode(std::string_view text);

} // namespace masticshift::transport

#endif
