#include "configuration_fetcher.hpp"

#include "failure_log.hpp"

#include <peer_link/message_kind.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

std::string name_of(membership::configuration_source const& source)
{
    return source.is_platform() ? "platform" : source.peer;
}

/// Converted to unsigned, a negative number would be a revision that no later
/// revision exceeds.
failure bad_revision()
{
    return {result_code::peer_protocol,
            "a peer sent a negative configuration revision"};
}

} // namespace

configuration_fetcher::configuration_fetcher(
    asio::any_io_executor executor, entry_state& state,
    membership::configuration_tracker& tracker, configuration_holder& holder,
    configuration_store& store, peer_link::peer_client& peers)
    : executor_(std::move(executor)),
      state_(state),
      tracker_(tracker),
      holder_(holder),
      store_(store),
      peers_(peers)
{
}

void configuration_fetcher::start_next(time_point now)
{
    auto const next = tracker_.start_fetch(now);
    if (next)
        asio::co_spawn(executor_, fetch(*next), asio::detached);
}

asio::awaitable<void>
configuration_fetcher::fetch(membership::configuration_fetch request)
{
    auto const fetched = co_await fetch_from(request.source);
    auto const now = steady_clock::now();
    if (fetched && fetched->revision > tracker_.in_force())
    {
        apply(request.source, *fetched, now);
        co_return;
    }
    tracker_.fetch_failed(request.source, now);
    if (!fetched)
        log_failure("configuration_fetch_failed", fetched.error());
}

asio::awaitable<outcome<configuration_fetcher::fetched_text>>
configuration_fetcher::fetch_from(membership::configuration_source source)
{
    if (source.is_platform())
        co_return co_await fetch_from_platform();
    co_return co_await fetch_from_peer(source.peer);
}

asio::awaitable<outcome<configuration_fetcher::fetched_text>>
configuration_fetcher::fetch_from_platform()
{
    ++state_.metrics.platform_calls;
    auto record = co_await store_.read_configuration();
    if (!record)
        co_return record.error();
    fetched_text fetched;
    fetched.revision = record->revision;
    fetched.text = std::move(record->text);
    co_return fetched;
}

asio::awaitable<outcome<configuration_fetcher::fetched_text>>
configuration_fetcher::fetch_from_peer(std::string peer)
{
    auto const address = config::parse_socket_address(peer);
    if (!address)
        co_return address.error();
    auto const deadline =
        steady_clock::now() + state_.settings.peers.call_timeout;
    auto message = peer_link::make_message(wire::fetch_text());
    auto result = co_await peers_.call(*address, std::move(message), deadline);
    if (!result)
        co_return result.error().error;
    auto& answer = result->fetch_text_answer;
    if (answer.revision < 0)
        co_return bad_revision();
    fetched_text fetched;
    fetched.revision = static_cast<std::uint64_t>(answer.revision);
    fetched.text = std::move(answer.text);
    co_return fetched;
}

void configuration_fetcher::apply(
    membership::configuration_source const& source, fetched_text const& fetched,
    time_point now)
{
    auto const applied = holder_.put_in_force(fetched.revision, fetched.text,
                                              name_of(source), now);
    if (applied)
    {
        tracker_.put_in_force(fetched.revision);
        return;
    }
    tracker_.reject(fetched.revision);
    tracker_.fetch_failed(source, now);
    log_failure("configuration_refused", applied.error());
}

} // namespace masticshift::daemon
