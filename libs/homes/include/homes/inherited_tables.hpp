#ifndef MASTICSHIFT_HOMES_INHERITED_TABLES_HPP
#define MASTICSHIFT_HOMES_INHERITED_TABLES_HPP

#include <homes/admission_decision.hpp>
#include <homes/body_digest.hpp>
#include <homes/handover.hpp>
#include <homes/submission_id.hpp>

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticshift::homes
{

struct inherited_tables_options
{
    /// Time that a table is kept after its first part was received.
    milliseconds retention{600'000};
    /// Limits on all tables together.
    std::size_t max_tables = 64;
    std::size_t max_ids = 100'000;
    std::size_t max_answer_bytes = 24 << 20;
};

struct inherited_statistics
{
    std::size_t tables = 0;
    std::size_t incomplete_tables = 0;
    std::size_t ids = 0;
    std::size_t answer_bytes = 0;
};

/// Submission tables received from stopped processes, for whose ids this
/// process answers as their successor.
///
/// No submission is ever started from these tables. A stopping process closes
/// admission before it exports its table, so an id that is not in a complete
/// table did not run, unless its generation was evicted. Parts may be received
/// more than once, in any order and from several senders, since every sender
/// has the same records of a stopped process. A table is complete when its last
/// part was received and it holds as many records as its header states.
class inherited_tables
{
public:
    /// `self` is this process; parts of its own table are rejected.
    inherited_tables(process_name self, inherited_tables_options options);

    /// Adds a part. Failures, after which the sender tries another successor or
    /// sends all parts again:
    ///
    /// - `overloaded`: a limit is exceeded; nothing of this table is kept
    /// - `peer_protocol`: the part contradicts its header or an earlier part,
    ///   or it is the last and others are missing
    outcome<void> accept(handover_part const& part, time_point now);

    /// Whether the complete table of `process` is held.
    bool holds(process_name const& process) const;

    /// Decides about a copy of a submission. Returns `answered`, or `refused`
    /// with:
    ///
    /// - `id_reused`, `id_expired` as in `submission_table::admit`
    /// - `draining`, `not_run`: the submission never ran and never will
    /// - `outcome_unknown`: the table of the id's home, the process that owns
    ///   the id, is not held here
    admission_decision find(submission_id const& id,
                            body_digest const& digest) const;

    /// As above, for a caller that fetches an answer: `unknown_id`, `not_run`
    /// instead of `draining` when the id is not in the table, and no
    /// `id_reused`.
    admission_decision find(submission_id const& id) const;

    /// Drops tables whose retention has passed.
    void expire(time_point now);

    /// Processes whose complete table is held, to be announced to the peers.
    std::vector<process_name> processes() const;

    /// The complete tables, for the successor of this process.
    std::vector<handover_table> export_tables() const;

    inherited_statistics statistics() const;

private:
    struct kept_record
    {
        body_digest digest;
        answer_ptr answer;
    };

    /// Keyed by nonce.
    using generation = std::unordered_map<std::string, kept_record>;

    struct table
    {
        handover_header header;
        time_point first_part;
        bool last_received = false;
        std::size_t ids = 0;
        std::size_t answer_bytes = 0;
        /// Keyed by number.
        std::map<std::uint32_t, generation> generations;
    };

    static bool is_complete(table const& held);
    static kept_record const* find_record(table const& held,
                                          submission_id const& id);
    static outcome<void> check_against(table const& held,
                                       handover_part const& part);
    static void insert(table& held, handover_part const& part);
    static admission_decision
    refuse_absent(table const& held, submission_id const& id, result_code code);
    static handover_table export_table(table const& held);

    table const* find_table(submission_id const& id) const;
    table* find_or_create(handover_header const& header, time_point now);
    bool has_capacity_for(handover_header const& header) const;

    process_name self_;
    inherited_tables_options options_;
    std::map<process_name, table> tables_;
};

} // namespace masticshift::homes

#endif
