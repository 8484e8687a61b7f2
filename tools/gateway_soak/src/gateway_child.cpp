#include "gateway_child.hpp"

#include <sstream>

namespace masticshift::gateway_soak
{

gateway_child::gateway_child(test_support::network_thread& network,
                             test_support::scratch_folder const& folder,
                             std::string const& program, std::string name,
                             std::string const& data_centre,
                             config::socket_address const& store)
    : program_(program),
      name_(std::move(name)),
      settings_path_(folder.file(name_ + ".toml")),
      error_path_(folder.file(name_ + ".err")),
      peer_link_(network, peer_port_.address()),
      store_link_(network, store)
{
    std::ostringstream text;
    text << "[gateway]\nname = \"" << name_ << "\"\ndata_centre = \""
         << data_centre << "\"\ncaller_address = \""
         << to_string(caller_port_.address()) << "\"\nready_address = \""
         << to_string(ready_port_.address()) << "\"\npeer_address = \""
         << to_string(peer_link_.address()) << "\"\npeer_listen_address = \""
         << to_string(peer_port_.address()) << "\"\nprocessors = 0.25\n"
         << "[store]\naddress = \"" << to_string(store_link_.address())
         << "\"\n[log]\npath = \"" << folder.file(name_ + ".log") << "\"\n";
    folder.write(name_ + ".toml", text.str());
}

void gateway_child::start()
{
    auto started = test_support::child_process::start(
        {program_, "--settings", settings_path_}, error_path_);
    process_ = std::move(started.value());
}

void gateway_child::signal(int number)
{
    process_.signal(number);
}

void gateway_child::kill()
{
    process_.kill();
}

bool gateway_child::is_running()
{
    return process_.is_running();
}

bool gateway_child::wait(milliseconds timeout)
{
    return process_.wait(timeout).has_value();
}

} // namespace masticshift::gateway_soak
