// Prints free TCP ports of an address, one a line. Calls to other loopback
// addresses leave from 127.0.0.1, so that they take none of these ports before
// a server binds them.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <vector>

DEFINE_string(ip, "127.0.0.2", "address whose ports are printed");
DEFINE_uint32(count, 1, "number of ports");

namespace
{

using boost::asio::ip::tcp;

// All are held until all were given, so that no port is printed twice.
void print_free_ports(unsigned count)
{
    boost::asio::io_context context;
    std::vector<tcp::acceptor> held;
    for (unsigned i = 0; i < count; ++i)
    {
        held.emplace_back(
            context, tcp::endpoint(boost::asio::ip::make_address(FLAGS_ip), 0));
        std::printf("%u\n", unsigned(held.back().local_endpoint().port()));
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    print_free_ports(FLAGS_count);
}
