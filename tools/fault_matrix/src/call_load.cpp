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
constexpr milliseconds cancel_patience{3'000};

/// Waits on another thread's progress.
template <class Condition>
bool wait_until(milliseconds patience, Condition condition)
{
    auto const limit = steady_clock::now() + patience;
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
                               steady_clock::now() + cancel_patience);
}

} // namespace

class call_load::impl
{
public:
    impl(load_options const& options, test_support::history_writer& records)
        : state{options.entries,
                options.most_submissions,
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
    impl_->state.ends = true;
    // Its coroutines use the rest.
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

bool call_load::wait_for(unsigned more, milliseconds patience) const
{
    auto const wanted = settled() + more;
    return wait_until(patience,
                      [&]
                      {
                          return settled() >= wanted;
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

bool call_load::finish(milliseconds patience)
{
    impl_->state.ends = true;
    return wait_until(patience,
                      [&]
                      {
                          return impl_->state.finished_callers ==
                                 impl_->callers.size();
                      });
}

} // namespace masticshift::fault_matrix
