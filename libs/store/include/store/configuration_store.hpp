#ifndef MASTICSHIFT_STORE_CONFIGURATION_STORE_HPP
#define MASTICSHIFT_STORE_CONFIGURATION_STORE_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <store/configuration_record.hpp>
#include <store/platform_client.hpp>
#include <store/table.hpp>

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace masticshift::store
{

/// How long `apply` tries.
struct apply_limits
{
    unsigned attempts = 6;
    /// Doubled after each attempt.
    milliseconds first_pause{100};
    milliseconds longest_pause{2'000};
};

struct apply_answer
{
    /// `ok`; `revision_conflict`, never applied; `write_unsettled`, may be
    /// applied; another code, never applied.
    result_code code = result_code::internal;
    /// With `ok` the revision that this change made, with `revision_conflict`
    /// the one that won, 0 where that could not be read.
    std::uint64_t revision = 0;
    std::string detail;
};

/// The names of the two keys. Both are written in one transaction.
table_key revision_key();
table_key configuration_key();

/// Reads a revision as it stands in the table.
outcome<std::uint64_t> parse_revision(table_entry const& entry);

/// The transaction that replaces a record, if its entry is still the same.
transaction replace_record(std::uint64_t entry_version,
                           configuration_record const& record);

/// The configuration in the platform's table.
///
/// The client and the waiter must outlive the coroutines.
template <platform_client Client, waiter Wait>
class configuration_store
{
public:
    configuration_store(Client& client, Wait wait, apply_limits limits = {})
        : client_(client), wait_(std::move(wait)), limits_(limits)
    {
    }

    /// The revision in force. 0: none was applied yet.
    boost::asio::awaitable<outcome<std::uint64_t>> read_revision()
    {
        auto const entry = co_await client_.read(revision_key());
        if (!entry)
            co_return entry.error();
        co_return parse_revision(*entry);
    }

    /// The configuration in force. Fails with `revision_absent` when none was
    /// applied yet.
    boost::asio::awaitable<outcome<configuration_record>> read_configuration()
    {
        auto snapshot = co_await read_snapshot();
        if (!snapshot)
            co_return snapshot.error();
        if (snapshot->record.revision == 0)
            co_return failure{result_code::revision_absent, "no revision yet"};
        co_return std::move(snapshot->record);
    }

    /// Makes a text the next revision: of `expected_revision` where given,
    /// else of the revision found at the start. The caller has checked the
    /// text. Safe to repeat with the same change id.
    boost::asio::awaitable<apply_answer>
    apply(configuration_change change,
          std::optional<std::uint64_t> expected_revision)
    {
        auto const start = co_await read_snapshot_patiently();
        if (!start)
            co_return refused(start.error());
        auto const& record = start->record;
        if (auto const made = revision_of(record, change.change_id))
            co_return apply_answer{result_code::ok, *made, ""};
        if (expected_revision && *expected_revision != record.revision)
            co_return lost(record.revision);
        auto const next = next_record(record, change);
        co_return co_await write(replace_record(start->version, next),
                                 next.changes.back());
    }

private:
    struct snapshot
    {
        std::uint64_t version = 0;
        configuration_record record;
    };

    /// What is known after one attempt to write.
    struct write_progress
    {
        /// Set once it is settled.
        std::optional<apply_answer> answer;
        /// Whether an attempt may still take effect.
        bool in_doubt = false;
        failure last_error;
    };

    static apply_answer refused(failure const& error)
    {
        return {error.code, 0, error.detail};
    }

    static apply_answer lost(std::uint64_t winner)
    {
        if (winner == 0)
            return {result_code::revision_conflict, 0, "another change won"};
        return {result_code::revision_conflict, winner,
                "revision " + std::to_string(winner) + " is in force"};
    }

    static apply_answer unsettled(revision_origin const& attempt)
    {
        return {result_code::write_unsettled, 0,
                "change " + attempt.change_id + " may have become revision " +
                    std::to_string(attempt.revision)};
    }

    boost::asio::awaitable<outcome<snapshot>> read_snapshot()
    {
        auto const entry = co_await client_.read(configuration_key());
        if (!entry)
            co_return entry.error();
        snapshot read{entry->version, {}};
        if (entry->version == 0)
            co_return read;
        auto record = parse_record(entry->value);
        if (!record)
            co_return record.error();
        read.record = std::move(*record);
        co_return read;
    }

    boost::asio::awaitable<outcome<snapshot>> read_snapshot_patiently()
    {
        outcome<snapshot> read = co_await read_snapshot();
        for (unsigned attempt = 1; attempt < limits_.attempts && !read;
             ++attempt)
        {
            co_await wait_(pause_before(attempt));
            read = co_await read_snapshot();
        }
        co_return read;
    }

    boost::asio::awaitable<apply_answer> write(transaction next,
                                               revision_origin attempt)
    {
        write_progress progress;
        for (unsigned i = 0; i < limits_.attempts; ++i)
        {
            if (i > 0)
                co_await wait_(pause_before(i));
            co_await try_write(next, attempt, progress);
            if (progress.answer)
                co_return *progress.answer;
        }
        co_return progress.in_doubt ? unsettled(attempt)
                                    : refused(progress.last_error);
    }

    /// Repeating the transaction is safe: its check holds only while no
    /// revision was made since, so that it takes effect at most once.
    boost::asio::awaitable<void> try_write(transaction const& next,
                                           revision_origin const& attempt,
                                           write_progress& progress)
    {
        auto const answer = co_await client_.commit(next);
        switch (answer.state)
        {
        case commit_state::committed:
            progress.answer =
                apply_answer{result_code::ok, attempt.revision, ""};
            break;
        case commit_state::not_written:
            progress.last_error = answer.error;
            break;
        case commit_state::unknown:
            progress.in_doubt = true;
            progress.last_error = answer.error;
            co_await settle(attempt, progress);
            break;
        case commit_state::conflict:
            co_await settle(attempt, progress);
            if (!progress.answer && !progress.in_doubt)
                progress.answer = lost(0);
            break;
        }
    }

    /// Reads back which change made the revision that was attempted.
    boost::asio::awaitable<void> settle(revision_origin const& attempt,
                                        write_progress& progress)
    {
        auto const read = co_await read_snapshot();
        if (!read)
            co_return;
        switch (state_of(read->record, attempt))
        {
        case change_state::pending:
            break;
        case change_state::applied:
            progress.answer =
                apply_answer{result_code::ok, attempt.revision, ""};
            break;
        case change_state::superseded:
            progress.answer = lost(read->record.revision);
            break;
        case change_state::forgotten:
            progress.answer = progress.in_doubt ? unsettled(attempt)
                                                : lost(read->record.revision);
            break;
        }
    }

    milliseconds pause_before(unsigned attempt) const
    {
        auto pause = limits_.first_pause;
        for (unsigned i = 1; i < attempt && pause < limits_.longest_pause; ++i)
            pause *= 2;
        return std::min(pause, limits_.longest_pause);
    }

    Client& client_;
    Wait wait_;
    apply_limits limits_;
};

} // namespace masticshift::store

#endif
