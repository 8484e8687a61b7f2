#include <dispatch/configuration_review.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

class configuration_reviewer
{
public:
    findings review(configuration const& settings)
    {
        for (auto const& service : settings.services)
            standby_[service.name] = service.standby;
        for (auto const& queue : settings.queues)
        {
            review_match(queue);
            review_service(queue);
            review_times(queue);
        }
        review_limits(settings);
        std::ranges::stable_sort(found_, std::ranges::greater{},
                                 &finding::level);
        return std::move(found_);
    }

private:
    void add(finding_level level, queue_settings const& queue,
             std::string const& key, std::string detail)
    {
        found_.push_back(
            {level, "queue." + queue.name + "." + key, std::move(detail)});
    }

    void review_match(queue_settings const& queue)
    {
        auto const [first, added] = owners_.emplace(
            std::pair(queue.host, queue.path_prefix), queue.name);
        if (!added)
            add(finding_level::error, queue, "path_prefix",
                "never matches: '" + first->second +
                    "' has the same host and prefix");
        if (!queue.path_prefix.empty() && !queue.path_prefix.starts_with('/'))
            add(finding_level::error, queue, "path_prefix",
                "never matches: paths begin with '/'");
        if (!names_.insert(queue.name).second)
            add(finding_level::warning, queue, "name",
                "is the name of another queue: their run times are learnt "
                "together");
    }

    void review_service(queue_settings const& queue)
    {
        auto const service = standby_.find(queue.service);
        if (!standby_.empty() && service == standby_.end())
            add(finding_level::warning, queue, "service",
                "'" + queue.service + "' is not among the services");
        else if (service != standby_.end() && service->second)
            add(finding_level::warning, queue, "service",
                "the machines of '" + queue.service + "' are switched off");
        if (queue.needs_approval)
            add(finding_level::warning, queue, "service",
                "its jobs are refused: approvals are not supported");
    }

    void review_times(queue_settings const& queue)
    {
        if (queue.target_latency > milliseconds(0) || queue.slack_factor > 1)
            return;
        bool const always_late = queue.slack_factor < 1;
        add(always_late ? finding_level::error : finding_level::warning, queue,
            "slack_factor",
            always_late ? "below 1 without target_latency_ms: every job is late"
                        : "1 without target_latency_ms: a job that waits at "
                          "all is late");
    }

    void review_limits(configuration const& settings)
    {
        if (settings.max_body_bytes == 0)
            found_.push_back({finding_level::error, "limits.max_body_bytes",
                              "0 bytes: every job is refused"});
        if (settings.max_header_bytes == 0)
            found_.push_back({finding_level::error, "limits.max_header_bytes",
                              "0 bytes: every call is refused"});
    }

    findings found_;
    std::map<std::string, bool> standby_;
    /// The first queue with this host and prefix, which gets the calls.
    std::map<std::pair<std::string, std::string>, std::string> owners_;
    std::set<std::string> names_;
};

} // namespace

findings review(configuration const& settings)
{
    return configuration_reviewer().review(settings);
}

} // namespace masticshift::dispatch
