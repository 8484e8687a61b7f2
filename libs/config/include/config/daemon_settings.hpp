#ifndef MASTICSHIFT_CONFIG_DAEMON_SETTINGS_HPP
#define MASTICSHIFT_CONFIG_DAEMON_SETTINGS_HPP

#include <core/log.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::config
{

/// An IP address and a port, written `IP:PORT` in settings.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(socket_address const&,
                           socket_address const&) = default;
};

std::string to_string(socket_address const& address);
outcome<socket_address> parse_socket_address(std::string_view text);

/// Table `[entry]`.
struct entry_settings
{
    std::string data_centre;
    socket_address caller_address;
    /// Address that peers connect to. It identifies this entry.
    socket_address peer_address;
    /// Address that the entry binds to accept peers. It differs from
    /// `peer_address` where addresses are translated between the VMs. The peer
    /// address by default.
    socket_address peer_listen_address;
    socket_address operator_address;
};

/// Table `[platform]`.
struct platform_settings
{
    socket_address address;
    milliseconds call_timeout{1'000};
    /// Pause between two reads of the revision and of the VM list.
    milliseconds poll_interval{1'000};
};

/// Table `[limits]`.
struct limit_settings
{
    std::size_t max_body_bytes = 8 << 20;
    std::size_t max_answer_bytes = 8 << 20;
    std::size_t max_header_bytes = 16 << 10;
    unsigned max_tasks = 890;
    unsigned max_connections = 4'096;
    /// A request must arrive completely within this time after its first byte.
    milliseconds request_read_timeout{5'000};
    /// A connection without a request is closed after this time.
    milliseconds idle_connection{60'000};
    /// A pooled connection to an endpoint is not reused after this idle time.
    milliseconds idle_endpoint_connection{1'000};
    milliseconds connect_timeout{500};
};

/// Table `[homes]`.
struct homes_settings
{
    milliseconds generation_length{120'000};
    /// Answers are kept for at least this time, unless a limit below is
    /// reached.
    milliseconds retention{600'000};
    /// This limit and the next apply separately to the entry's own ids and to
    /// the tables that it inherited from stopped entries.
    std::size_t max_ids = 100'000;
    std::size_t max_answer_bytes = 24 << 20;
    /// Key of the MAC in home tokens. No MAC when empty. Each entry checks only
    /// the tokens that it issued itself, so entries need not share a key.
    std::string key;
};

/// Table `[peers]`.
struct peer_settings
{
    std::vector<socket_address> addresses;
    milliseconds heartbeat_interval{500};
    /// A peer of the own data centre from which no heartbeat was received for
    /// this time counts as dead. Peers of other data centres send heartbeats
    /// more rarely and count as dead later, or when a call to them fails.
    milliseconds dead_after{2'500};
    milliseconds call_timeout{1'000};
};

/// Table `[placement]`.
struct placement_settings
{
    /// Name of a placement policy of libs/placement.
    std::string policy = "lending";
    /// Time for which idle slots are lent.
    milliseconds loan_duration{200};
    /// Largest number of slots that one call asks to borrow.
    unsigned loan_batch = 16;
};

/// Table `[drain]`.
struct drain_settings
{
    /// A graceful stop ends after this time at the latest, even if jobs still
    /// run.
    milliseconds limit{20'000};
};

/// All settings of masticshiftd.
struct daemon_settings
{
    entry_settings entry;
    platform_settings platform;
    limit_settings limits;
    homes_settings homes;
    peer_settings peers;
    placement_settings placement;
    drain_settings drain;
    log_settings log;
};

/// Parses and checks settings. Errors have the form of
/// `parse_operator_configuration`.
boost::leaf::result<daemon_settings>
parse_daemon_settings(std::string_view toml, std::string_view origin);

/// As `parse_daemon_settings`, for a file, and for coroutines.
outcome<daemon_settings> load_daemon_settings(std::string const& path);

} // namespace masticshift::config

#endif
