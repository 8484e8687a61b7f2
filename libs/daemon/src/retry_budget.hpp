#ifndef MASTICSHIFT_DAEMON_RETRY_BUDGET_HPP
#define MASTICSHIFT_DAEMON_RETRY_BUDGET_HPP

#include <algorithm>

namespace masticshift::daemon
{

/// A token bucket that limits the retries of idempotent requests to a fraction
/// of all such requests, so that retries can't multiply the load of failing
/// endpoints.
class retry_budget
{
public:
    void record_request()
    {
        tokens_ = std::min(tokens_ + tokens_per_request, max_tokens);
    }

    /// Takes the token of one retry. False if there is none.
    bool take()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    static constexpr double tokens_per_request = 0.1;
    static constexpr double max_tokens = 20;

    double tokens_ = max_tokens;
};

} // namespace masticshift::daemon

#endif
