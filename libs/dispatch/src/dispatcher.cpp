#include <dispatch/dispatcher.hpp>

#include "dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// Progress is read from lists, which arrive at least every 200 ms.
constexpr milliseconds progress_interval{50};

/// Whether the response says nothing about the process of the endpoint.
bool is_silence(order_response response)
{
    return response == order_response::connection_refused ||
           response == order_response::not_sent ||
           response == order_response::unanswered;
}

} // namespace

dispatcher::impl::impl(dispatch_limits limits, std::int64_t token,
                       token_source next_token)
    : token_(token), next_token_(std::move(next_token)), limits_(limits)
{
}

endpoint_account* dispatcher::impl::find(std::string const& endpoint)
{
    auto const found = accounts_.find(endpoint);
    return found == accounts_.end() ? nullptr : found->second.get();
}

void dispatcher::impl::record_decision(std::string_view event,
                                       tracked_job const& job,
                                       std::string const& task,
                                       std::string const& endpoint,
                                       std::string_view outcome, double value)
{
    decisions_.push_back({event, job.spec.id, task, endpoint, outcome, value});
}

void dispatcher::impl::record_success(endpoint_account& account)
{
    auto& health = account.health();
    if (health.failures_in_a_row() > 0)
        decisions_.push_back({"endpoint_trusted",
                              {},
                              {},
                              account.record().id,
                              name_of(endpoint_trust::full),
                              0});
    health.succeeded();
}

void dispatcher::impl::record_failure(endpoint_account& account,
                                      endpoint_failure reason, time_point now)
{
    auto& health = account.health();
    health.failed(reason, now);
    decisions_.push_back({"endpoint_distrusted",
                          {},
                          {},
                          account.record().id,
                          name_of(health.trust(now)),
                          static_cast<double>(health.failures_in_a_row()),
                          name_of(reason)});
}

void dispatcher::impl::record_process(endpoint_account const& account,
                                      std::string_view source,
                                      std::int64_t started_ms)
{
    decisions_.push_back({"endpoint_process",
                          {},
                          {},
                          account.record().id,
                          source,
                          static_cast<double>(account.runs().size()),
                          {},
                          started_ms});
}

void dispatcher::impl::record_process_ended(endpoint_account& account,
                                            std::string_view evidence)
{
    decisions_.push_back({"endpoint_process_ended",
                          {},
                          {},
                          account.record().id,
                          evidence,
                          static_cast<double>(account.runs().size())});
}

void dispatcher::impl::stop_starts_at(endpoint_account& account,
                                      order_response response, time_point now)
{
    if (response == order_response::connection_refused)
        account.record_connection_refused(now);
    else if (response == order_response::other_instance)
        account.list_again();
}

void dispatcher::impl::update_endpoint(endpoint_record record)
{
    auto const id = record.id;
    removed_.erase(id);
    auto& account = accounts_[id];
    if (!account)
    {
        account = std::make_unique<endpoint_account>(std::move(record), token_,
                                                     limits_);
        endpoints_to_poll_.insert(id);
        return;
    }
    // Another writer may have changed the record: only a list of the endpoint
    // shows that its process has ended.
    if (record.started_ms != account->record().started_ms)
    {
        account->list_again();
        endpoints_to_poll_.insert(id);
        record_process(*account, "recorded", record.started_ms);
    }
    account->update(std::move(record));
}

void dispatcher::impl::raise_token(endpoint_account& account)
{
    auto const former = token_;
    token_ = std::max(token_, next_token_(token_));
    account.raise_token(token_);
    endpoints_to_poll_.insert(account.record().id);
    decisions_.push_back({"endpoint_fenced",
                          {},
                          {},
                          account.record().id,
                          token_ > former ? "token_raised" : "token_kept",
                          static_cast<double>(account.runs().size())});
}

void dispatcher::impl::record_crashes(endpoint_account& account, time_point now)
{
    for (auto const& lost : account.take_lost_with_process())
    {
        crash_history_.record(lost.key.task, lost.run.crash, now);
        auto const& job = lost.run.job;
        if (job && !job->ended)
            give_up_crashing(job, now);
    }
}

void dispatcher::impl::advance_token(std::int64_t token)
{
    token_ = std::max(token_, token);
    for (auto const& [id, account] : accounts_)
    {
        if (account->advance_token(token_))
            endpoints_to_poll_.insert(id);
    }
}

std::vector<std::string> dispatcher::impl::release_idle()
{
    std::vector<std::string> released;
    if (!queue_.jobs().empty())
        return released;
    std::erase_if(accounts_,
                  [&](auto const& each)
                  {
                      if (!each.second->runs().empty())
                          return false;
                      released.push_back(each.first);
                      return true;
                  });
    return released;
}

void dispatcher::impl::remove_endpoint(std::string const& id)
{
    auto* const account = find(id);
    if (account == nullptr)
        return;
    auto record = account->record();
    record.stage = endpoint_stage::draining;
    account->update(std::move(record));
    removed_.insert(id);
}

std::optional<list_order>
dispatcher::impl::next_list(std::string const& endpoint, time_point now)
{
    auto* const account = find(endpoint);
    if (account == nullptr)
        return std::nullopt;
    return account->next_list(now);
}

void dispatcher::impl::list_answered(std::string const& endpoint,
                                     list_order const& order,
                                     run_list const& list,
                                     std::int64_t endpoint_clock,
                                     time_point sent, time_point now)
{
    auto* const account = find(endpoint);
    if (account == nullptr)
        return;
    account->record_acknowledged(order.acknowledged_end);
    auto changes = account->apply_list(list, order, sent, now);
    account->record_response(now);
    account->record_clock(endpoint_clock, now, sent);
    if (changes.new_process)
        record_process(*account, "listed", account->process_started_ms());
    if (changes.restarted)
        raise_token(*account);
    if (changes.restarted && !account->record_matches_process())
        decisions_.push_back({"endpoint_record_outdated",
                              {},
                              {},
                              endpoint,
                              "no_work",
                              static_cast<double>(list.started_ms)});
    record_crashes(*account, now);
    for (auto const& key : changes.foreign)
    {
        ++live_runs_[key.task];
        decisions_.push_back(
            {"foreign_run", {}, key.task, endpoint, "stopped", 0});
        stop_run(*account, key, now);
    }
    for (auto const& finished : changes.finished)
        run_ended(*account, finished, now);
    place(now);
}

void dispatcher::impl::list_failed(std::string const& endpoint,
                                   order_response response, time_point now,
                                   std::int64_t token)
{
    auto* const account = find(endpoint);
    if (account == nullptr)
        return;
    // A token that was raised since the list was sent may be accepted.
    if (response == order_response::outranked && token < account->token())
    {
        endpoints_to_poll_.insert(endpoint);
        return;
    }
    decisions_.push_back(
        {"list_failed", {}, {}, endpoint, name_of(response), 0});
    // The next process may get a start that is in transit before it is listed,
    // and a list whose response is lost still makes it reject that start.
    bool const first_failure = account->record_list_failure();
    if (first_failure && is_silence(response) && account->is_watched(now))
        raise_token(*account);
    stop_starts_at(*account, response, now);
    if (response == order_response::outranked)
        account->record_outranked();
    else
        account->record_call_failure(now);
    auto const proof =
        process_end::from_list_response(response, account->was_listed_here());
    if (!proof)
        return;
    bool const confirmed = account->process_ended();
    account->record_process_ended(*proof, now);
    record_crashes(*account, now);
    // One such response may come from a wrong address.
    if (!confirmed)
    {
        record_process_ended(*account, name_of(response));
        return;
    }
    // Unlike responses to orders, those to lists arrive in order: there is no
    // list of the next process yet.
    for (auto const& finished : account->take_ended_with_process(*proof))
        run_ended(*account, finished, now);
    place(now);
}

void dispatcher::impl::tick(time_point now)
{
    bool const progress_due = now - progress_checked_ >= progress_interval;
    if (progress_due)
        progress_checked_ = now;
    for (auto const& [id, account] : accounts_)
    {
        for (auto const& finished : account->take_expired(now))
            run_ended(*account, finished, now);
        resend_stops(*account, now);
        if (progress_due)
            check_progress(*account, now);
    }
    std::erase_if(removed_,
                  [&](std::string const& id)
                  {
                      auto const* const account = find(id);
                      return account != nullptr && account->runs().empty() &&
                             !account->is_watched(now) &&
                             accounts_.erase(id) > 0;
                  });
    check_deadlines(now);
    check_waiting(now);
    place(now);
}

std::vector<endpoint_status> dispatcher::impl::status(time_point now) const
{
    std::vector<endpoint_status> rows;
    for (auto const& [id, account] : accounts_)
    {
        rows.push_back({id, name_of(account->link()),
                        name_of(account->health().trust(now)),
                        account->health().failures_in_a_row(),
                        name_of(account->health().last_failure()),
                        account->runs().size(), account->free(),
                        speeds_.speed(account->record().vm)});
    }
    return rows;
}

std::size_t dispatcher::impl::runs() const
{
    std::size_t count = 0;
    for (auto const& [id, account] : accounts_)
        count += account->runs().size();
    return count;
}

} // namespace masticshift::dispatch
