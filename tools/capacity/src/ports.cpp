// Prints free TCP ports of an address, one per line. The default address is not
// 127.0.0.1, because connections to other loopback addresses use 127.0.0.1 as
// their source and so cannot take one of these ports before a server binds it.

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

// Keeps all ports bound until the last one is printed, so that no port is
// printed twice.
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
