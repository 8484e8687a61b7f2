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

/// Header fields in order. Names are compared without case.
struct http_fields
{
    std::vector<http_field> list;

    /// The value of the first field of this name, or an empty string.
    std::string_view operator[](std::string_view name) const;
    void set(std::string_view name, std::string_view value);
};

/// Tells the handler of a request that its caller has closed the connection.
class caller_presence
{
public:
    /// `watch` begins to look for the end of the connection.
    explicit caller_presence(std::function<void()> watch)
        : watch_(std::move(watch))
    {
    }

    /// Calls `notify` once if the caller goes before it is answered.
    void on_gone(std::function<void()> notify)
    {
        notify_ = std::move(notify);
        if (watch_)
            watch_();
    }

    bool watched() const
    {
        return static_cast<bool>(notify_);
    }

    /// The caller has closed the connection.
    void note_gone()
    {
        if (auto const notify = std::exchange(notify_, nullptr))
            notify();
    }

    /// The request was answered. Nothing is told any more.
    void end()
    {
        notify_ = nullptr;
        watch_ = nullptr;
    }

private:
    std::function<void()> watch_;
    std::function<void()> notify_;
};

struct http_request
{
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target = "/";
    http_fields fields;
    std::string body;
    /// Set by a server.
    std::shared_ptr<caller_presence> caller;
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
