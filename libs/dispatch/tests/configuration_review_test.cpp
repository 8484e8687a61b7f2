#include <dispatch/configuration_review.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

configuration make_valid()
{
    configuration made;
    queue_settings queue;
    queue.name = "quotes";
    queue.host = "host";
    queue.path_prefix = "/quotes/";
    queue.service = "pricing";
    queue.slack_factor = 1.6;
    made.queues.push_back(queue);
    made.services.push_back({"pricing", false});
    return made;
}

/// The only finding after a change of a valid configuration, as
/// `LEVEL PLACE`.
template <class Change>
std::string finding_after(Change const& change)
{
    auto changed = make_valid();
    change(changed, changed.queues.front());
    auto const found = review(changed);
    REQUIRE(found.size() == 1);
    return std::string(name_of(found.front().level)) + " " +
           found.front().place;
}

} // namespace

TEST_CASE("queues that never match and limits that contradict are found")
{
    CHECK(review(make_valid()).empty());
    CHECK(finding_after(
              [](configuration& settings, queue_settings&)
              {
                  auto second = settings.queues.front();
                  second.name = "shadowed";
                  settings.queues.push_back(second);
              }) == "error queue.shadowed.path_prefix");
    CHECK(finding_after(
              [](configuration&, queue_settings& queue)
              {
                  queue.path_prefix = "quotes/";
              }) == "error queue.quotes.path_prefix");
    CHECK(finding_after(
              [](configuration&, queue_settings& queue)
              {
                  queue.slack_factor = 0.9;
              }) == "error queue.quotes.slack_factor");
    CHECK(finding_after(
              [](configuration&, queue_settings& queue)
              {
                  queue.slack_factor = 1;
              }) == "warning queue.quotes.slack_factor");
    CHECK(finding_after(
              [](configuration& settings, queue_settings&)
              {
                  settings.services.front().standby = true;
              }) == "warning queue.quotes.service");
    CHECK(finding_after(
              [](configuration&, queue_settings& queue)
              {
                  queue.service = "unknown";
              }) == "warning queue.quotes.service");
    CHECK(finding_after(
              [](configuration& settings, queue_settings&)
              {
                  settings.max_body_bytes = 0;
              }) == "error limits.max_body_bytes");
}

TEST_CASE("a longer prefix of the same host is no finding")
{
    auto settings = make_valid();
    auto second = settings.queues.front();
    second.name = "urgent quotes";
    second.path_prefix = "/quotes/urgent/";
    settings.queues.push_back(second);
    CHECK(review(settings).empty());
}
