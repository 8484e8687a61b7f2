#ifndef MASTICSHIFT_PLATFORM_TESTS_FAKE_PLATFORM_HPP
#define MASTICSHIFT_PLATFORM_TESTS_FAKE_PLATFORM_HPP

#include <store/configuration_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::store
{

/// What happens to one commit.
enum class commit_outcome
{
    answered,
    answer_lost,
    request_lost,
    /// The response is lost, and the write takes effect at a later step.
    delayed,
    unreachable
};

/// A table in memory. Each call is suspended before and after it takes effect;
/// the test chooses which suspended call resumes next.
class fake_platform
{
public:
    /// Chooses what happens to the next commit.
    std::function<commit_outcome()> choose_outcome = []
    {
        return commit_outcome::answered;
    };
    /// Chooses whether the next read succeeds.
    std::function<bool()> choose_read = []
    {
        return true;
    };
    /// Called once, after the next commit was processed.
    std::function<void()> after_commit;
    /// Each change that took effect, in order.
    std::vector<revision_origin> applied;

    boost::asio::awaitable<outcome<table_entry>> read(table_key key)
    {
        co_await step();
        if (!choose_read())
            co_return failure{result_code::platform_unavailable, "down"};
        auto const entry = entries_[key];
        co_await step();
        co_return entry;
    }

    boost::asio::awaitable<commit_answer> commit(transaction write)
    {
        co_await step();
        failure const error{result_code::platform_timeout, "no answer"};
        auto answer = commit_answer{commit_state::unknown, error};
        switch (choose_outcome())
        {
        case commit_outcome::answered:
            answer = {execute(write) ? commit_state::committed
                                     : commit_state::conflict,
                      {}};
            break;
        case commit_outcome::answer_lost:
            execute(write);
            break;
        case commit_outcome::request_lost:
            break;
        case commit_outcome::delayed:
            waiting_steps_.push_back(
                [this, write]
                {
                    execute(write);
                });
            break;
        case commit_outcome::unreachable:
            answer.state = commit_state::not_written;
            break;
        }
        if (auto const hook = std::exchange(after_commit, nullptr))
            hook();
        co_await step();
        co_return answer;
    }

    boost::asio::awaitable<outcome<vm_list>> read_vms()
    {
        co_return vm_list{};
    }

    /// Suspends the coroutine until the test resumes it.
    boost::asio::awaitable<void> step()
    {
        boost::asio::use_awaitable_t<> token;
        co_await boost::asio::async_initiate<decltype(token), void()>(
            [this](auto handler)
            {
                auto const kept =
                    std::make_shared<decltype(handler)>(std::move(handler));
                waiting_steps_.push_back(
                    [kept]
                    {
                        std::move (*kept)();
                    });
            },
            token);
    }

    /// Runs everything that was spawned. `choose` gets the number of waiting
    /// steps and returns the index of the next one.
    void run(std::function<std::size_t(std::size_t)> const& choose)
    {
        poll();
        while (!waiting_steps_.empty())
        {
            auto const at =
                static_cast<std::ptrdiff_t>(choose(waiting_steps_.size()));
            auto next = std::move(waiting_steps_[static_cast<std::size_t>(at)]);
            waiting_steps_.erase(waiting_steps_.begin() + at);
            boost::asio::post(context, std::move(next));
            poll();
        }
    }

    /// Applies the change of another operator immediately.
    void apply_other_change(std::string const& change_id)
    {
        auto const entry = entries_[configuration_key()];
        configuration_record record;
        if (entry.version > 0)
            record = parse_record(entry.value).value();
        execute(replace_record(entry.version,
                               next_record(record, {change_id, ""})));
    }

    std::string value_of(table_key const& key)
    {
        return entries_[key].value;
    }

    boost::asio::io_context context;

private:
    void poll()
    {
        context.restart();
        context.poll();
    }

    bool execute(transaction const& write)
    {
        for (auto const& check : write.checks)
        {
            if (entries_[check.key].version != check.version)
                return false;
        }
        for (auto const& each : write.writes)
        {
            auto& entry = entries_[each.key];
            entry = {entry.version + 1, each.value.value_or("")};
            if (each.key == configuration_key())
                applied.push_back(
                    parse_record(entry.value).value().changes.back());
        }
        return true;
    }

    std::map<table_key, table_entry> entries_;
    std::vector<std::function<void()>> waiting_steps_;
};

/// A `waiter` whose wait ends when the test resumes it.
struct fake_wait
{
    fake_platform* platform;

    boost::asio::awaitable<void> operator()(milliseconds) const
    {
        return platform->step();
    }
};

using fake_store = configuration_store<fake_platform, fake_wait>;

/// Spawns one `apply`. The answer is set when it ends.
inline std::shared_ptr<std::optional<apply_answer>>
spawn_apply(fake_platform& platform, std::string const& change_id,
            std::optional<std::uint64_t> expected = {})
{
    auto answer = std::make_shared<std::optional<apply_answer>>();
    auto operate = [&platform, change_id, expected,
                    answer]() -> boost::asio::awaitable<void>
    {
        fake_store store(platform, {&platform});
        configuration_change const change{change_id, "text"};
        *answer = co_await store.apply(change, expected);
    };
    // Keeps the lambda, whose captures the coroutine uses, alive until it ends.
    auto const kept = std::make_shared<decltype(operate)>(std::move(operate));
    boost::asio::co_spawn(platform.context, (*kept)(),
                          [kept](std::exception_ptr const& error)
                          {
                              if (error)
                                  std::rethrow_exception(error);
                          });
    return answer;
}

} // namespace masticshift::store

#endif
