#include "lending.hpp"

#include "loan_wire.hpp"

#include <core/log.hpp>
#include <peer_link/message_kind.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

} // namespace

lending::lending(asio::any_io_executor executor, entry_state& state,
                 peer_link::peer_client& peers)
    : executor_(std::move(executor)), state_(state), peers_(peers)
{
}

void lending::connect(job_runner& runner)
{
    runner_ = &runner;
}

void lending::borrow(placement::borrow_request request)
{
    asio::co_spawn(executor_, call_lender(std::move(request)), asio::detached);
}

void lending::give_back(placement::returned_loans returned)
{
    asio::co_spawn(executor_, return_loans(std::move(returned)),
                   asio::detached);
}

asio::awaitable<void> lending::call_lender(placement::borrow_request request)
{
    auto const lender = config::parse_socket_address(request.lender);
    if (!lender)
    {
        accept_loans(request, {});
        co_return;
    }
    wire::borrow call;
    call.__set_service_name(request.service);
    call.__set_count(static_cast<std::int32_t>(request.count));
    call.__set_borrower(state_.self.address);
    call.__set_incarnation(static_cast<std::int64_t>(state_.self.incarnation));
    auto const deadline =
        steady_clock::now() + state_.settings.peers.call_timeout;
    auto message = peer_link::make_message(std::move(call));
    auto const result =
        co_await peers_.call(*lender, std::move(message), deadline);
    if (result)
        accept_loans(request, from_wire(result->borrow_answer.slots));
    else
        accept_loans(request, {});
}

void lending::accept_loans(placement::borrow_request const& request,
                           std::vector<placement::loan> const& loans)
{
    state_.engine.accept_loans(request.lender, loans, steady_clock::now());
    boost::json::object fields;
    fields["lender"] = request.lender;
    fields["service"] = request.service;
    fields["asked"] = request.count;
    fields["lent"] = loans.size();
    log_event(log_level::info, "slots_borrowed", std::move(fields));
    runner_->schedule_placement();
}

asio::awaitable<void> lending::return_loans(placement::returned_loans returned)
{
    auto const lender = config::parse_socket_address(returned.lender);
    if (!lender)
        co_return;
    wire::give_back call;
    call.__set_borrower(state_.self.address);
    call.__set_incarnation(static_cast<std::int64_t>(state_.self.incarnation));
    call.__set_slots(to_wire(returned.slots));
    auto const deadline =
        steady_clock::now() + state_.settings.peers.call_timeout;
    auto message = peer_link::make_message(std::move(call));
    // A failure is ignored: the loan expires by itself.
    co_await peers_.call(*lender, std::move(message), deadline);
}

} // namespace masticshift::daemon
