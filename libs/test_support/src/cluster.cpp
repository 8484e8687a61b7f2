#include <test_support/cluster.hpp>

#include <test_support/log_watch.hpp>

#include <boost/json.hpp>

#include <csignal>
#include <sstream>

namespace masticshift::test_support
{

namespace json = boost::json;

namespace
{

constexpr milliseconds start_timeout{10'000};
constexpr milliseconds stop_margin{4'000};
constexpr milliseconds standin_stop_timeout{2'000};
constexpr auto any_port = "127.0.0.1:0";

/// Alternates between two data centres, so that each has entries and endpoints.
std::string data_centre_of(std::size_t index)
{
    return index % 2 == 0 ? "ikeja" : "apapa";
}

std::string quoted(config::socket_address const& address)
{
    return "\"" + to_string(address) + "\"";
}

/// The address at the end of the line that a stand-in prints when it listens.
outcome<config::socket_address> address_in(std::string const& line)
{
    return config::parse_socket_address(line.substr(line.rfind(' ') + 1));
}

failure internal_failure(std::string const& detail)
{
    return {result_code::internal, detail};
}

json::object vm_row(std::string const& address, std::string const& data_centre,
                    std::string_view role, bool leaves)
{
    json::object row;
    row["address"] = address;
    row["data_centre"] = data_centre;
    row["role"] = role;
    row["state"] = leaves ? "leaving" : "live";
    return row;
}

} // namespace

cluster::cluster(cluster_options options)
    : options_(std::move(options)),
      records_(folder_.file("test.jsonl")),
      client_(network_)
{
}

outcome<void> cluster::start()
{
    auto started = start_platform();
    endpoints_.resize(options_.endpoints);
    for (std::size_t i = 0; i < endpoints_.size() && started; ++i)
        started = start_endpoint(i);
    entries_.resize(options_.entries);
    for (std::size_t i = 0; i < entries_.size(); ++i)
        prepare_entry(i);
    if (started)
        started = set_vm_list(false);
    auto const applied = started ? apply() : store::apply_answer{};
    if (started && applied.code != result_code::ok)
        return internal_failure("the first configuration was not applied: " +
                                applied.detail);
    for (std::size_t i = 0; i < entries_.size() && started; ++i)
        started = start_entry(entries_[i]);
    return started;
}

outcome<void> cluster::start_platform()
{
    auto started =
        child_process::start({program("platform_standin"), "--listen", any_port,
                              "--history", platform_history()},
                             folder_.file("platform.err"));
    if (!started)
        return started.error();
    platform_ = *std::move(started);
    auto const lines =
        platform_.read_until("platform_standin listens", start_timeout);
    if (!lines)
        return lines.error();
    auto const address = address_in(lines->back());
    if (!address)
        return address.error();
    platform_address_ = *address;
    return {};
}

outcome<void> cluster::start_endpoint(std::size_t index)
{
    auto& endpoint = endpoints_[index];
    auto const name = "endpoint-" + std::to_string(index);
    endpoint.history = folder_.file(name + ".jsonl");
    auto started = child_process::start(
        {program("endpoint_standin"), "--listen", any_port, "--name", name,
         "--slots", std::to_string(options_.slots), "--history",
         endpoint.history},
        folder_.file(name + ".err"));
    if (!started)
        return started.error();
    endpoint.process = *std::move(started);
    auto const lines = endpoint.process.read_until("ready", start_timeout);
    if (!lines)
        return lines.error();
    auto const address = address_in(lines->front());
    if (!address)
        return address.error();
    endpoint.address = *address;
    endpoint.link = std::make_unique<relay>(network_, *address);
    return {};
}

void cluster::prepare_entry(std::size_t index)
{
    auto& entry = entries_[index];
    entry.name = "entry-" + std::to_string(index);
    entry.settings = folder_.file(entry.name + ".toml");
    entry.data_centre = data_centre_of(index);
    entry.peer_link =
        std::make_unique<relay>(network_, entry.peer_port.address());
    entry.platform_link = std::make_unique<relay>(network_, platform_address_);
}

void cluster::write_settings(cluster_entry const& entry) const
{
    std::ostringstream text;
    text << "[entry]\ndata_centre = \"" << entry.data_centre
         << "\"\ncaller_address = " << quoted(entry.caller_port.address())
         << "\npeer_address = " << quoted(entry.peer_link->address())
         << "\npeer_listen_address = " << quoted(entry.peer_port.address())
         << "\noperator_address = " << quoted(entry.operator_port.address())
         << "\n[platform]\naddress = " << quoted(entry.platform_link->address())
         << "\ntimeout_ms = 500\npoll_interval_ms = 500\n[peers]\naddresses = "
            "[";
    for (auto const& peer : entries_)
    {
        if (&peer != &entry)
            text << quoted(peer.peer_link->address()) << ", ";
    }
    text << "]\nheartbeat_interval_ms = 200\ndead_after_ms = 1000\n"
         << "[drain]\nlimit_ms = " << options_.drain_limit.count()
         << "\n[log]\nsource = \"" << entry.name << "\"\npath = \""
         << entry.logs.back() << "\"\nlevel = \"info\"\n";
    folder_.write(entry.name + ".toml", text.str());
}

outcome<void> cluster::start_entry(cluster_entry& entry)
{
    // A killed process may leave an incomplete line in its log, so each process
    // has its own file.
    auto const process = std::to_string(entry.logs.size());
    entry.logs.push_back(folder_.file(entry.name + "." + process + ".jsonl"));
    write_settings(entry);
    log_watch watch({entry.logs.back()});
    auto started = child_process::start(
        {program("masticshiftd"), "--settings", entry.settings},
        folder_.file(entry.name + ".err"));
    if (!started)
        return started.error();
    entry.process = *std::move(started);
    auto const lines = entry.process.read_until("ready", start_timeout);
    if (!lines)
        return lines.error();
    if (!watch.wait_for("configuration_in_force", start_timeout))
        return internal_failure(entry.name +
                                " did not apply the configuration in time");
    return {};
}

outcome<void> cluster::restart_entry(std::size_t index)
{
    return start_entry(entries_.at(index));
}

outcome<void> cluster::stop()
{
    for (auto& entry : entries_)
        entry.process.signal(SIGTERM);
    outcome<void> stopped;
    for (auto& entry : entries_)
    {
        auto const ended = await_stop(entry);
        if (!ended)
            stopped = ended;
    }
    for (auto& endpoint : endpoints_)
    {
        endpoint.process.signal(SIGTERM);
        endpoint.process.wait(standin_stop_timeout);
    }
    platform_.signal(SIGTERM);
    platform_.wait(standin_stop_timeout);
    return stopped;
}

outcome<void> cluster::await_stop(cluster_entry& entry) const
{
    auto const status = entry.process.wait(options_.drain_limit + stop_margin);
    if (!status)
        return internal_failure(entry.name + " did not stop within its limit");
    if (*status != 0)
        return internal_failure(entry.name + " ended with status " +
                                std::to_string(*status));
    return {};
}

store::apply_answer cluster::apply()
{
    auto const number = ++changes_;
    store::configuration_change change;
    change.change_id = "change-" + std::to_string(number);
    change.text = "# " + change.change_id + "\n" + service_text();
    auto answer = client_.apply(platform_address_, change);
    records_.write("operator", history::applied{answer.revision,
                                                change.change_id, answer.code});
    return answer;
}

outcome<void> cluster::control_platform(std::string const& body)
{
    return client_.control(platform_address_, body);
}

outcome<void> cluster::control_endpoint(std::size_t index,
                                        std::string const& body)
{
    return client_.control(endpoints_.at(index).address, body);
}

outcome<void> cluster::set_vm_list(bool first_endpoint_leaves)
{
    json::array rows;
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
    {
        rows.push_back(vm_row(to_string(endpoints_[i].link->address()),
                              data_centre_of(i), "endpoint",
                              i == 0 && first_endpoint_leaves));
    }
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        rows.push_back(vm_row(to_string(entries_[i].peer_link->address()),
                              data_centre_of(i), "entry", false));
    }
    json::object body;
    body["vms"] = std::move(rows);
    return control_platform(json::serialize(body));
}

void cluster::record_entry_cut(std::size_t index)
{
    records_.write("test", history::entry_cut{entries_.at(index).name});
}

void cluster::record_entry_healed(std::size_t index)
{
    records_.write("test", history::entry_healed{entries_.at(index).name});
}

std::vector<cluster_entry>& cluster::entries()
{
    return entries_;
}

std::vector<cluster_endpoint>& cluster::endpoints()
{
    return endpoints_;
}

history_writer& cluster::records()
{
    return records_;
}

scratch_folder& cluster::folder()
{
    return folder_;
}

blocking_client& cluster::client()
{
    return client_;
}

std::string cluster::platform_history() const
{
    return folder_.file("platform.jsonl");
}

std::vector<std::string> cluster::entry_logs() const
{
    std::vector<std::string> logs;
    for (auto const& entry : entries_)
        logs.insert(logs.end(), entry.logs.begin(), entry.logs.end());
    return logs;
}

std::vector<std::string> cluster::endpoint_histories() const
{
    std::vector<std::string> paths;
    for (auto const& endpoint : endpoints_)
        paths.push_back(endpoint.history);
    return paths;
}

std::vector<std::string> cluster::histories() const
{
    auto paths = entry_logs();
    for (auto& path : endpoint_histories())
        paths.push_back(std::move(path));
    paths.push_back(platform_history());
    paths.push_back(folder_.file("test.jsonl"));
    return paths;
}

std::map<std::string, std::string> cluster::endpoint_names() const
{
    std::map<std::string, std::string> names;
    for (auto const& endpoint : endpoints_)
        names[to_string(endpoint.link->address())] =
            to_string(endpoint.address);
    return names;
}

std::string cluster::service_text() const
{
    std::ostringstream text;
    text << "[data_centre.ikeja]\nregion = \"ng-southwest\"\n"
         << "nearest = [\"apapa\"]\n[data_centre.apapa]\n"
         << "region = \"ng-southwest\"\nnearest = [\"ikeja\"]\n";
    std::string names;
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
    {
        auto const name = "e" + std::to_string(i);
        names += "\"" + name + "\", ";
        text << "[endpoint." << name
             << "]\naddress = " << quoted(endpoints_[i].link->address())
             << "\ndata_centre = \"" << data_centre_of(i)
             << "\"\nslots = " << options_.slots << "\nconnections = 64\n";
    }
    text << "[service.stock]\nendpoints = [" << names
         << "]\nrun_time_ms = 20\ntimeout_ms = 2500\nrecoverable = true\n"
         << "[service.orderdesk]\nendpoints = [" << names
         << "]\nrun_time_ms = 20\ntimeout_ms = 2500\n";
    return text.str();
}

std::string cluster::program(std::string const& name) const
{
    return options_.programs + "/" + name;
}

} // namespace masticshift::test_support
