#ifndef MASTICSHIFT_MASTICSHIFTD_TESTS_ENTRY_PROCESS_HPP
#define MASTICSHIFT_MASTICSHIFTD_TESTS_ENTRY_PROCESS_HPP

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

// Runs masticshiftd and the stand-ins as real processes on loopback.

namespace entry_test
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

/// Timeout of each wait in these tests.
constexpr std::chrono::seconds wait_timeout{30};

inline bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

/// Polls until `holds` is true. False: it was not within `wait_timeout`.
inline bool eventually(std::function<bool()> const& holds)
{
    auto const until = std::chrono::steady_clock::now() + wait_timeout;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// A port that was free during this call.
inline std::uint16_t free_port()
{
    asio::io_context context;
    tcp::acceptor const acceptor(context, {asio::ip::address_v4::loopback(), 0},
                                 false);
    return acceptor.local_endpoint().port();
}

inline std::string on_loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// A child process. Its standard output is read line by line, its standard
/// error goes to a file.
class process
{
public:
    process(std::string const& program, std::vector<std::string> arguments,
            std::string const& error_file = "/dev/null")
    {
        arguments.insert(arguments.begin(), MASTICSHIFT_BIN_DIR "/" + program);
        std::vector<char*> argv;
        argv.reserve(arguments.size() + 1);
        for (auto& argument : arguments)
            argv.push_back(argument.data());
        argv.push_back(nullptr);
        std::array<int, 2> ends{};
        REQUIRE(pipe2(ends.data(), O_CLOEXEC) == 0);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
                                         error_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        auto const failed = posix_spawn(&pid_, argv.front(), &actions, nullptr,
                                        argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(ends[1]);
        output_ = fdopen(ends[0], "r");
        REQUIRE(failed == 0);
    }

    ~process()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            wait();
        }
        std::fclose(output_);
    }

    process(process const&) = delete;
    process& operator=(process const&) = delete;

    /// The next line of the standard output, empty at its end.
    std::string read_line()
    {
        std::array<char, 1'024> line{};
        if (std::fgets(line.data(), line.size(), output_) == nullptr)
            return {};
        return line.data();
    }

    /// Waits for the process to end. Returns the exit code, or -1 if a signal
    /// ended it.
    int wait()
    {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    void signal(int number) const
    {
        ::kill(pid_, number);
    }

private:
    pid_t pid_ = 0;
    FILE* output_ = nullptr;
};

/// Sends bytes and returns all that is received until the peer closes the
/// connection.
inline std::string send_raw(std::uint16_t port, std::string const& bytes)
{
    tcp::iostream stream;
    stream.expires_after(wait_timeout);
    stream.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    stream << bytes << std::flush;
    std::ostringstream received;
    // A refusal may be received although the rest of the request could not be
    // written.
    stream.clear();
    received << stream.rdbuf();
    return received.str();
}

struct http_response
{
    /// Status line and header fields.
    std::string head;
    std::string body;

    unsigned status() const
    {
        constexpr auto status_start = 9;
        constexpr auto status_length = 3;
        if (head.size() < status_start + status_length)
            return 0;
        auto const text = head.substr(status_start, status_length);
        return static_cast<unsigned>(std::stoul(text));
    }

    std::string field(std::string const& name) const
    {
        auto const found = head.find("\r\n" + name + ": ");
        if (found == std::string::npos)
            return {};
        auto const start = found + name.size() + 4;
        return head.substr(start, head.find("\r\n", start) - start);
    }

    /// A field of the JSON body as text, without quotes.
    std::string value(std::string const& name) const
    {
        boost::system::error_code error;
        auto const parsed = json::parse(body, error);
        if (error || !parsed.is_object() || !parsed.get_object().contains(name))
            return {};
        auto const& found = parsed.get_object().at(name);
        return found.is_string() ? std::string(found.get_string())
                                 : json::serialize(found);
    }
};

inline http_response parse_response(std::string const& received)
{
    auto const end = received.find("\r\n\r\n");
    if (end == std::string::npos)
        return {received, {}};
    return {received.substr(0, end + 2), received.substr(end + 4)};
}

/// Makes one call over a new connection. Each of the `fields` ends with CR LF.
inline http_response call(std::uint16_t port, std::string const& method,
                          std::string const& target,
                          std::string const& body = {},
                          std::string const& fields = {})
{
    return parse_response(send_raw(
        port, method + " " + target +
                  " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n" + fields +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body));
}

struct entry_options
{
    std::string key;
    std::vector<std::uint16_t> peers;
    /// TOML that is appended to the settings.
    std::string extra_toml;
};

/// A masticshiftd process that serves as an entry.
class entry
{
public:
    entry(std::string const& folder, std::uint16_t platform_port,
          entry_options const& options = {})
        : peer_port(free_port()),
          folder_(folder),
          settings_(write_settings(platform_port, options)),
          log(folder + "/" + std::to_string(peer_port) + ".log"),
          program("masticshiftd", {"--settings", settings_}, log)
    {
        REQUIRE(program.read_line() == "ready\n");
    }

    http_response submit(std::string const& body) const
    {
        return call(caller_port, "POST", "/v1/jobs", body);
    }

    std::string new_id(std::string const& nonce) const
    {
        return call(caller_port, "GET", "/v1/home").value("home") + "." + nonce;
    }

    bool ready() const
    {
        return call(operator_port, "GET", "/ready").status() == 200;
    }

    std::uint16_t const caller_port = free_port();
    std::uint16_t const peer_port;
    std::uint16_t const operator_port = free_port();

private:
    std::string write_settings(std::uint16_t platform_port,
                               entry_options const& options) const
    {
        auto path = folder_ + "/" + std::to_string(peer_port) + ".toml";
        std::ofstream file(path);
        file << "[entry]\ndata_centre = \"ikeja\"\ncaller_address = \""
             << on_loopback(caller_port) << "\"\npeer_address = \""
             << on_loopback(peer_port) << "\"\noperator_address = \""
             << on_loopback(operator_port) << "\"\n[platform]\naddress = \""
             << on_loopback(platform_port)
             << "\"\npoll_interval_ms = 50\n[limits]\nmax_body_bytes = 20000\n"
                "max_header_bytes = 4096\nrequest_read_ms = 300\n"
                "idle_connection_ms = 500\n[homes]\nkey = \""
             << options.key << "\"\n[peers]\nheartbeat_interval_ms = 50\n"
             << "addresses = [";
        for (auto const port : options.peers)
            file << '"' << on_loopback(port) << "\",";
        file << "]\n" << options.extra_toml;
        return path;
    }

    std::string folder_;
    std::string settings_;

public:
    std::string const log;
    process program;
};

/// Stand-ins of the platform and of one endpoint, and a folder for files.
class test_environment
{
public:
    test_environment()
        : platform_("platform_standin", {"--listen", "127.0.0.1:0"}),
          endpoint_("endpoint_standin", {"--listen", "127.0.0.1:0"})
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "entry_XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        folder = name;
        platform_port = port_in(platform_.read_line());
        endpoint_port = port_in(endpoint_.read_line());
        REQUIRE(endpoint_.read_line() == "ready\n");
    }

    ~test_environment()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    test_environment(test_environment const&) = delete;
    test_environment& operator=(test_environment const&) = delete;

    /// Writes the first configuration, with the service `echo`, to the
    /// platform.
    void configure() const
    {
        auto const text =
            "[data_centre.ikeja]\nregion = \"south\"\n[endpoint.one]\n"
            "address = \"" +
            on_loopback(endpoint_port) +
            "\"\ndata_centre = \"ikeja\"\nslots = 8\n[service.echo]\n"
            "endpoints = [\"one\"]\nrun_time_ms = 5\ntimeout_ms = 20000\n";
        json::object const record{
            {"revision", 1}, {"change_id", "first"}, {"text", text}};
        auto const write = [](char const* key, std::string const& value)
        {
            return json::object{
                {"table", "masticshift"}, {"key", key}, {"value", value}};
        };
        json::object const body{
            {"checks", json::array{}},
            {"writes",
             json::array{write("revision", "1"),
                         write("configuration", json::serialize(record))}}};
        auto const written = call(platform_port, "POST", "/v1/transactions",
                                  json::serialize(body));
        REQUIRE(written.status() == 200);
    }

    std::string folder;
    std::uint16_t platform_port = 0;
    std::uint16_t endpoint_port = 0;

private:
    static std::uint16_t port_in(std::string const& line)
    {
        auto const colon = line.rfind(':');
        REQUIRE(colon != std::string::npos);
        return static_cast<std::uint16_t>(std::stoul(line.substr(colon + 1)));
    }

    process platform_;
    process endpoint_;
};

inline std::string job_body(std::string const& id, int run_ms = 1)
{
    return R"({"id":")" + id +
           R"(","service":"echo","tasks":[{"input":{"run_ms":)" +
           std::to_string(run_ms) + "}}]}";
}

/// A caller that submits one job after another in a thread and counts successes
/// and failures.
class background_caller
{
public:
    explicit background_caller(entry const& tested)
        : thread_(
              [this, &tested]
              {
                  while (!stopping_)
                      submit(tested);
              })
    {
    }

    ~background_caller()
    {
        stopping_ = true;
        thread_.join();
    }

    background_caller(background_caller const&) = delete;
    background_caller& operator=(background_caller const&) = delete;

    /// Whether a job that is submitted after this call starts succeeds, and no
    /// earlier one has failed.
    bool still_succeeds() const
    {
        auto const target = succeeded_ + 2;
        auto const succeeded = eventually(
            [&]
            {
                return succeeded_ >= target || failed_ > 0;
            });
        if (failed_ > 0)
            MESSAGE("a job of the background caller failed: ", first_failure_);
        return succeeded && failed_ == 0;
    }

private:
    void submit(entry const& tested)
    {
        auto const answer = tested.submit(
            R"({"service":"echo","tasks":[{"input":{"run_ms":1}}]})");
        if (answer.value("code") == "0" && contains(answer.body, "echo"))
            ++succeeded_;
        else if (failed_ == 0)
        {
            first_failure_ = answer.head + answer.body;
            ++failed_;
        }
    }

    std::atomic<bool> stopping_{false};
    std::atomic<int> succeeded_{0};
    std::atomic<int> failed_{0};
    /// Written once, before `failed_` becomes 1.
    std::string first_failure_;
    std::thread thread_;
};

} // namespace entry_test

#endif
