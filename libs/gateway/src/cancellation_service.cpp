#include "cancellation_service.hpp"

#include <core/log.hpp>
#include <dispatch/token.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace masticshift::gateway
{

namespace
{

/// Callers wait for four seconds at the least. A dispatcher that has not
/// responded within this time is paused, cut off or dead.
constexpr milliseconds longest_answer_wait{1'000};

/// A message without a response in this time is sent again.
constexpr milliseconds call_timeout{150};

/// An entry that has started this long ago knows all dispatchers. Before that,
/// one that it does not know may have the job.
constexpr milliseconds dispatchers_known_after{1'000};

/// How often to look for dispatchers that have not acknowledged a message.
constexpr milliseconds repeat_interval{100};

/// Beyond this number the oldest ones are not repeated any more.
constexpr std::size_t most_open = 4'096;

constexpr std::array outcome_names{"known", "unknown", "unacknowledged"};

} // namespace

char const* name_of(cancellation_outcome outcome)
{
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

asio::awaitable<cancellation_outcome>
cancellation_service::cancel(std::string id)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const requested = steady_clock::now();
    auto const open = std::make_shared<cancellation>(executor, id, requested);
    open->known = cell_manager_.cancel(id, requested, requested);
    open_[id] = open;
    send(open);
    auto const limit = requested + longest_answer_wait;
    while (!is_acknowledged(*open, steady_clock::now()) &&
           steady_clock::now() < limit)
    {
        open->responded.expires_after(
            std::min<duration>(limit - steady_clock::now(), repeat_interval));
        co_await open->responded.async_wait(as_values);
    }
    auto const now = steady_clock::now();
    auto const outcome = open->known ? cancellation_outcome::known
                         : is_acknowledged(*open, now)
                             ? cancellation_outcome::unknown
                             : cancellation_outcome::unacknowledged;
    state_.metrics.cancellations(name_of(outcome)).add();
    log_event(log_level::info, "job_cancelled",
              {{"job", id},
               {"outcome", name_of(outcome)},
               {"acknowledged", open->acknowledged.size()},
               {"ms", to_milliseconds(now - requested)}});
    co_return outcome;
}

asio::awaitable<void> cancellation_service::run()
{
    for (;;)
    {
        co_await pause(repeat_interval);
        auto const now = steady_clock::now();
        std::erase_if(open_,
                      [&](auto const& each)
                      {
                          return now - each.second->requested >
                                 dispatch::cancelled_jobs::retention;
                      });
        while (open_.size() > most_open)
            open_.erase(
                std::ranges::min_element(open_, {},
                                         [](auto const& each)
                                         {
                                             return each.second->requested;
                                         }));
        for (auto const& [id, open] : open_)
            send(open);
    }
}

bool cancellation_service::is_acknowledged(cancellation const& open,
                                           time_point now) const
{
    auto const dispatchers = state_.roster.dispatchers(now);
    return !dispatchers.empty() &&
           state_.recovery.age(now) >= dispatchers_known_after &&
           std::ranges::all_of(
               dispatchers,
               [&](auto const& each)
               {
                   return each.address == state_.roster.self().address ||
                          open.acknowledged.contains(
                              {each.address,
                               dispatch::claim_number_of(each.claim.token)});
               });
}

void cancellation_service::send(cancellation_ptr const& open)
{
    std::map<std::string, std::set<claim_key>> missing;
    for (auto const& each : state_.roster.dispatchers(steady_clock::now()))
    {
        claim_key const key{each.address,
                            dispatch::claim_number_of(each.claim.token)};
        if (each.address != state_.roster.self().address &&
            !open->acknowledged.contains(key) &&
            !open->in_transit.contains(each.address))
            missing[each.address].insert(key);
    }
    for (auto& [address, claims] : missing)
    {
        open->in_transit.insert(address);
        asio::co_spawn(cell_manager_.executor(),
                       call_dispatcher(*this, open, address, std::move(claims)),
                       asio::detached);
    }
}

asio::awaitable<void> cancellation_service::call_dispatcher(
    cancellation_service& self, cancellation_ptr open, std::string address,
    std::set<claim_key> claims)
{
    auto const sent = steady_clock::now();
    wire::cancel_job content;
    content.id = open->id;
    content.age_ms =
        std::chrono::ceil<milliseconds>(sent - open->requested).count();
    auto message = peer_link::make_message(std::move(content));
    auto const result = co_await call_peer(
        self.peers_, address, std::move(message), sent + call_timeout);
    open->in_transit.erase(address);
    if (!result)
        co_return;
    open->acknowledged.merge(claims);
    open->known = open->known || result->cancel_answer.known;
    open->responded.cancel();
}

} // namespace masticshift::gateway
