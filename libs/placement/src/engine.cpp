#include <placement/engine.hpp>

#include "engine_impl.hpp"
#include "stable_hash.hpp"

#include <utility>

namespace masticshift::placement
{

std::uint32_t borrower_key(std::string_view borrower, std::int64_t incarnation)
{
    auto const seed = static_cast<std::uint64_t>(incarnation);
    return static_cast<std::uint32_t>(stable_hash(borrower, seed));
}

template <placement_policy Policy>
engine<Policy>::engine(engine_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

template <placement_policy Policy>
engine<Policy>::~engine() = default;

template <placement_policy Policy>
engine<Policy>::engine(engine&&) noexcept = default;

template <placement_policy Policy>
engine<Policy>& engine<Policy>::operator=(engine&&) noexcept = default;

template <placement_policy Policy>
void engine<Policy>::configure(config::operator_configuration const& text,
                               time_point now)
{
    impl_->configure(text, now);
}

template <placement_policy Policy>
void engine<Policy>::set_entries(std::vector<live_entry> live, time_point now)
{
    impl_->set_entries(live, now);
}

template <placement_policy Policy>
void engine<Policy>::set_leaving(std::vector<std::string> const& addresses,
                                 time_point now)
{
    impl_->all_.set_leaving(addresses, now);
}

template <placement_policy Policy>
admission engine<Policy>::admit(job_request const& request, time_point now)
{
    return impl_->admit(request, now);
}

template <placement_policy Policy>
std::vector<assignment> engine<Policy>::place(time_point now)
{
    return impl_->place(now);
}

template <placement_policy Policy>
void engine<Policy>::finished(task_ref task, task_result result, duration took,
                              time_point now)
{
    impl_->finished(task, result, took, now);
}

template <placement_policy Policy>
bool engine<Policy>::requeue(task_ref task, time_point now)
{
    return impl_->requeue(task, now);
}

template <placement_policy Policy>
std::vector<task_ref> engine<Policy>::cancel(std::uint64_t job, time_point now)
{
    return impl_->cancel(job, now);
}

template <placement_policy Policy>
std::vector<borrow_request> engine<Policy>::take_borrow_requests(time_point now)
{
    return impl_->take_borrow_requests(now);
}

template <placement_policy Policy>
std::vector<loan> engine<Policy>::lend(std::string_view service, unsigned count,
                                       std::string_view borrower,
                                       std::int64_t incarnation, time_point now)
{
    return impl_->lend(service, count, borrower_key(borrower, incarnation),
                       now);
}

template <placement_policy Policy>
void engine<Policy>::accept_loans(std::string_view lender,
                                  std::vector<loan> const& loans,
                                  time_point now)
{
    impl_->accept_loans(lender, loans, now);
}

template <placement_policy Policy>
std::vector<returned_loans> engine<Policy>::take_surplus_loans(time_point now)
{
    return impl_->loans_.take_surplus_loans(impl_->pacing_, now);
}

template <placement_policy Policy>
void engine<Policy>::accept_returned_loans(std::string_view borrower,
                                           std::int64_t incarnation,
                                           std::vector<loan> const& loans,
                                           time_point now)
{
    impl_->loans_.accept_returned(borrower_key(borrower, incarnation), loans,
                                  now);
}

template <placement_policy Policy>
std::optional<time_point> engine<Policy>::next_event(time_point) const
{
    return impl_->next_event();
}

template <placement_policy Policy>
std::vector<service_load> engine<Policy>::load(time_point) const
{
    return impl_->load();
}

template <placement_policy Policy>
engine_status engine<Policy>::status(time_point now) const
{
    return impl_->status(now);
}

template class engine<lending_policy>;
template class engine<lending_fast_policy>;
template class engine<lending_eager_policy>;
template class engine<lending_fifo_policy>;
template class engine<fixed_share_policy>;
template class engine<fixed_share_fifo_policy>;

} // namespace masticshift::placement
