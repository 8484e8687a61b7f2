#include "call_load.hpp"

#include "caller.hpp"

#include <test_support/network_thread.hpp>

#include <boost/asio.hpp>

#include <thread>

namespace masticshift::fault_matrix
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds check_interval{5};
constexpr milliseconds cancel_timeout{3'000};

/// Polls a condition that another thread makes true. False on timeout.
template <class Condition>
bool wait_until(milliseconds timeout, Condition condition)
{
    auto const limit = steady_clock::now() + timeout;
    while (!condition())
    {
        if (steady_clock::now() >= limit)
            return false;
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

asio::awaitable<void> cancel(load_state& state, std::string id,
                             config::socket_address entry)
{
    transport::http_request request;
    request.method = "DELETE";
    request.target = "/v1/jobs/" + transport::percent_encode(id);
    co_await state.client.call(entry.ip, entry.port, std::move(request),
                               steady_clock::now() + cancel_timeout);
}

} // namespace

class call_load::impl
{
public:
    impl(load_options const& options, test_support::history_writer& records)
        : state{options.entries,
                options.max_submissions,
                records,
                {network.executor(), {}},
                {}}
    {
        for (unsigned i = 0; i < options.callers; ++i)
            callers.push_back(std::make_unique<caller>(state, i, options.seed));
    }

    test_support::network_thread network;
    load_state state;
    std::vector<std::unique_ptr<caller>> callers;
};

call_load::call_load(load_options const& options,
                     test_support::history_writer& records)
    : impl_(std::make_unique<impl>(options, records))
{
}

call_load::~call_load()
{
    impl_->state.stopping = true;
    // The coroutines on this thread use the other members.
    impl_->network.stop();
}

void call_load::start()
{
    for (auto const& each : impl_->callers)
        asio::co_spawn(impl_->network.executor(), each->run(), asio::detached);
}

unsigned call_load::settled() const
{
    return impl_->state.settled;
}

bool call_load::wait_for(unsigned more, milliseconds timeout) const
{
    auto const required = settled() + more;
    return wait_until(timeout,
                      [&]
                      {
                          return settled() >= required;
                      });
}

void call_load::cancel_all()
{
    auto& state = impl_->state;
    impl_->network.run(
        [&]
        {
            std::size_t next = 0;
            for (auto const& id : state.running)
            {
                auto const& entry =
                    state.entries[next++ % state.entries.size()];
                asio::co_spawn(impl_->network.executor(),
                               cancel(state, id, entry), asio::detached);
            }
        });
}

bool call_load::finish(milliseconds timeout)
{
    impl_->state.stopping = true;
    return wait_until(timeout,
                      [&]
                      {
                          return impl_->state.finished_callers ==
                                 impl_->callers.size();
                      });
}

} // namespace masticshift::fault_matrix
