#ifndef MASTICSHIFT_DISPATCH_TESTS_DISPATCHER_FIXTURE_HPP
#define MASTICSHIFT_DISPATCH_TESTS_DISPATCHER_FIXTURE_HPP

#include <test_support/endpoint_model.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace masticshift::dispatch::testing
{

inline constexpr std::int64_t token = 100;
inline constexpr milliseconds run_time{60};

/// A dispatcher with endpoints, and a clock that the test advances.
struct dispatcher_fixture
{
    explicit dispatcher_fixture(int endpoints, dispatch_limits limits = {})
        : tested(limits, token)
    {
        for (int i = 0; i < endpoints; ++i)
        {
            auto const id = "e" + std::to_string(i);
            models.emplace(id, endpoint_model(make_endpoint(id)));
            tested.update_endpoint(make_endpoint(id));
            read(id);
        }
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(now - time_point{})
            .count();
    }

    void read(std::string const& id)
    {
        auto const order = tested.next_list(id, now);
        if (!order)
            return;
        run_list list;
        auto const response = models.at(id).list(*order, clock(), list);
        if (response == order_response::accepted)
            tested.list_answered(id, *order, list, clock(), now, now);
        else
            tested.list_failed(id, response, now);
    }

    void read_all()
    {
        for (auto const& [id, model] : models)
            read(id);
    }

    void deliver_orders(bool fail = false)
    {
        for (auto const& order : tested.take_starts())
        {
            auto const response =
                models.at(order.endpoint).start(order, clock(), run_time, fail);
            tested.start_answered(order, response, clock(), now);
        }
        for (auto const& order : tested.take_stops())
            tested.stop_answered(
                order, models.at(order.endpoint).stop(order, clock()), now);
    }

    void advance(milliseconds length)
    {
        now += length;
        tested.tick(now);
    }

    /// Reports a start and its repetitions as unanswered until the dispatcher
    /// repeats it no more. Returns how often it did.
    int lose_start(start_order const& first)
    {
        int repeated = 0;
        std::vector<start_order> lost{first};
        while (!lost.empty())
        {
            CHECK(lost.size() == 1);
            CHECK(lost[0].run == first.run);
            now += milliseconds(25);
            tested.start_answered(lost[0], order_response::unanswered,
                                  std::nullopt, now);
            lost = tested.take_starts();
            repeated += lost.empty() ? 0 : 1;
        }
        return repeated;
    }

    time_point now = time_point{} + std::chrono::seconds(100);
    dispatcher tested;
    std::map<std::string, endpoint_model> models;
};

} // namespace masticshift::dispatch::testing

#endif
