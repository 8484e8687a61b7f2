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

/// Number of attempts of each step of `apply` and back-off between them.
struct apply_limits
{
    unsigned attempts = 6;
    /// Doubled after each attempt.
    milliseconds first_pause{100};
    milliseconds longest_pause{2'000};
};

struct apply_answer
{
    /// `ok`: the change was applied. `write_unsettled`: it is unknown whether
    /// the change was or will be applied. `revision_conflict` and any other
    /// code: the change was not and will not be applied.
    result_code code = result_code::internal;
    /// With `ok` the revision that this change created. With
    /// `revision_conflict` the revision in force, or 0 if there is none or it
    /// could not be read.
    std::uint64_t revision = 0;
    std::string detail;
};

/// The keys of the revision and of the configuration record. Both are written
/// in one transaction.
table_key revision_key();
table_key configuration_key();

/// Parses the value of `revision_key`. An absent key is revision 0.
outcome<std::uint64_t> parse_revision(table_entry const& entry);

/// The transaction that replaces the record. It succeeds only if the entry
/// still has the version `entry_version`.
transaction replace_record(std::uint64_t entry_version,
                           configuration_record const& record);

/// Reads and replaces the configuration in the platform's table.
///
/// The store and its client must outlive the coroutines.
template <platform_client Client, waiter Wait>
class configuration_store
{
public:
    configuration_store(Client& client, Wait wait, apply_limits limits = {})
        : client_(client), wait_(std::move(wait)), limits_(limits)
    {
    }

    /// The revision in force. 0: no configuration was applied yet.
    boost::asio::awaitable<outcome<std::uint64_t>> read_revision()
    {
        auto const entry = co_await client_.read(revision_key());
        if (!entry)
            co_return entry.error();
        co_return parse_revision(*entry);
    }

    /// The configuration in force. Fails with `revision_absent` if no
    /// configuration was applied yet.
    boost::asio::awaitable<outcome<configuration_record>> read_configuration()
    {
        auto snapshot = co_await read_snapshot();
        if (!snapshot)
            co_return snapshot.error();
        if (snapshot->record.revision == 0)
            co_return failure{result_code::revision_absent,
                              "no configuration was applied yet"};
        co_return std::move(snapshot->record);
    }

    /// Applies a text as the next revision, if the revision in force is
    /// `expected_revision` (when given) at the start and no other change is
    /// applied meanwhile. The caller must have validated the text. Safe to
    /// retry with the same change id while the record includes that change.
    boost::asio::awaitable<apply_answer>
    apply(configuration_change change,
          std::optional<std::uint64_t> expected_revision)
    {
        auto const start = co_await read_snapshot_with_retries();
        if (!start)
            co_return failed_answer(start.error());
        auto const& record = start->record;
        if (auto const applied_revision = revision_of(record, change.change_id))
            co_return apply_answer{result_code::ok, *applied_revision, ""};
        if (expected_revision && *expected_revision != record.revision)
            co_return conflict_answer(record.revision);
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

    /// Progress of a change over all attempts to write it.
    struct write_progress
    {
        /// Set once the outcome is known.
        std::optional<apply_answer> answer;
        /// Whether an attempt may still take effect.
        bool in_doubt = false;
        failure last_error;
    };

    static apply_answer failed_answer(failure const& error)
    {
        return {error.code, 0, error.detail};
    }

    static apply_answer conflict_answer(std::uint64_t current_revision)
    {
        if (current_revision == 0)
            return {result_code::revision_conflict, 0,
                    "another change was applied first"};
        return {result_code::revision_conflict, current_revision,
                "revision " + std::to_string(current_revision) +
                    " is in force"};
    }

    static apply_answer unsettled_answer(revision_origin const& attempt)
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

    boost::asio::awaitable<outcome<snapshot>> read_snapshot_with_retries()
    {
        outcome<snapshot> read = co_await read_snapshot();
        for (unsigned attempt = 1; attempt < limits_.attempts && !read;
             ++attempt)
        {
            co_await wait_(backoff_before(attempt));
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
                co_await wait_(backoff_before(i));
            co_await try_write(next, attempt, progress);
            if (progress.answer)
                co_return *progress.answer;
        }
        co_return progress.in_doubt ? unsettled_answer(attempt)
                                    : failed_answer(progress.last_error);
    }

    /// Retrying the transaction is safe: its version check fails once any
    /// change was applied, so that it takes effect at most once.
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
            co_await resolve(attempt, progress);
            break;
        case commit_state::conflict:
            co_await resolve(attempt, progress);
            if (!progress.answer && !progress.in_doubt)
                progress.answer = conflict_answer(0);
            break;
        }
    }

    /// Reads which change created the attempted revision.
    boost::asio::awaitable<void> resolve(revision_origin const& attempt,
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
            progress.answer = conflict_answer(read->record.revision);
            break;
        case change_state::not_recorded:
            progress.answer = progress.in_doubt
                                  ? unsettled_answer(attempt)
                                  : conflict_answer(read->record.revision);
            break;
        }
    }

    milliseconds backoff_before(unsigned attempt) const
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
