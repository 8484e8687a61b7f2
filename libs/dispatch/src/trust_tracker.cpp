#include <dispatch/trust_tracker.hpp>

#include <algorithm>
#include <array>

namespace masticshift::dispatch
{

namespace
{

/// Twice the run time of the most frequent tasks of the deployments, 200 ms.
constexpr milliseconds first_ejection{400};

/// Some faults of endpoints last five to seven seconds.
constexpr milliseconds max_ejection{3'200};

constexpr unsigned failures_until_ejection = 2;

/// With faults that lose one order in eighteen, three lost ones in a row occur
/// once in six thousand. With three lost orders in ten, a second failure, which
/// ejects the endpoint, takes six in a row: once in fourteen hundred.
constexpr unsigned unanswered_until_failure = 3;

constexpr std::array trust_names{"full", "probation", "ejected"};

constexpr std::array failure_names{"none", "run_failed", "run_stuck",
                                   "order_refused", "unanswered"};

} // namespace

char const* name_of(endpoint_trust trust)
{
    return trust_names.at(static_cast<std::size_t>(trust));
}

char const* name_of(endpoint_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

endpoint_trust trust_tracker::trust(time_point now) const
{
    if (now < ejected_until_)
        return endpoint_trust::ejected;
    return failures_ == 0 ? endpoint_trust::full : endpoint_trust::probation;
}

void trust_tracker::succeeded()
{
    failures_ = 0;
    ejected_until_ = {};
}

void trust_tracker::failed(endpoint_failure reason, time_point now)
{
    last_failure_ = reason;
    ++failures_;
    if (failures_ < failures_until_ejection)
        return;
    auto const doublings = std::min(failures_ - failures_until_ejection, 8U);
    auto const pause =
        std::min(first_ejection * (1 << doublings), milliseconds(max_ejection));
    ejected_until_ = now + pause;
}

void trust_tracker::answered()
{
    unanswered_ = 0;
}

bool trust_tracker::unanswered()
{
    if (++unanswered_ < unanswered_until_failure)
        return false;
    unanswered_ = 0;
    return true;
}

endpoint_failure trust_tracker::last_failure() const
{
    return last_failure_;
}

unsigned trust_tracker::failures_in_a_row() const
{
    return failures_;
}

} // namespace masticshift::dispatch
