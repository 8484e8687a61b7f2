#ifndef MASTICSHIFT_HOMES_SUBMISSION_TABLE_HPP
#define MASTICSHIFT_HOMES_SUBMISSION_TABLE_HPP

#include <homes/admission_decision.hpp>
#include <homes/body_digest.hpp>
#include <homes/handover.hpp>
#include <homes/kept_answer.hpp>
#include <homes/submission_id.hpp>
#include <homes/token_signer.hpp>

#include <core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticshift::homes
{

struct submission_table_options
{
    /// Address and incarnation of this process. No other process may ever have
    /// the same pair.
    process_name self;
    /// Key of the MAC in home tokens. No MAC when empty.
    std::string key;
    /// Time after which a new generation starts; earlier when the current one
    /// reaches an eighth of one of the limits below.
    milliseconds generation{120'000};
    /// Time that answers are kept, unless a limit is exceeded. A generation
    /// also accepts new ids for this time after its end.
    milliseconds retention{600'000};
    /// Limit on running and answered ids.
    std::size_t max_ids = 100'000;
    /// Limit on the total size of kept answers.
    std::size_t max_answer_bytes = 24 << 20;
};

struct table_statistics
{
    std::size_t ids = 0;
    std::size_t running = 0;
    std::size_t answer_bytes = 0;
    std::size_t generations = 0;
    /// Total number of ids evicted before the end of their retention, because
    /// of a limit.
    std::uint64_t ids_dropped_early = 0;
    /// Total number of submissions refused because the table was full of
    /// running ones.
    std::uint64_t refused_full = 0;
};

/// The submissions whose home is this process, which owns their ids. Only this
/// table decides whether they start.
///
/// `admit` returns `start` at most once for an id in the lifetime of the
/// process. An id that is not in the table starts only while admission is open
/// and no answer of its generation has been evicted. Answers are evicted by
/// whole generations, oldest first; their ids are `id_expired` from then on. A
/// running submission is never evicted.
///
/// Ids are compared by generation and nonce, whatever their MAC. That an id
/// starts at most once does not depend on the given times. Not thread-safe.
class submission_table
{
public:
    submission_table(submission_table_options options, time_point now);

    /// The token that callers form new ids from.
    home_token current_token() const;

    /// Starts a new generation when one is due and evicts those whose retention
    /// has passed. To be called at least once a second.
    void rotate(time_point now);

    /// Decides about one copy of a submission. Refusals:
    ///
    /// - `outcome_unknown`: the id's home is another process
    /// - `id_forged`: the MAC of its token is wrong
    /// - `id_malformed`: its generation has not started yet
    /// - `id_reused`: the id was submitted with another digest
    /// - `id_expired`: its generation accepts no new ids; `not_run` when it is
    ///   certain that the id was never accepted
    /// - `overloaded`: the table is full of running submissions; `ran` is
    ///   `unknown`, since the refusal can't be recorded and a later copy may
    ///   start
    /// - `draining`: admission is closed
    admission_decision admit(submission_id const& id, body_digest const& digest,
                             time_point now);

    /// Refuses a submission permanently, with an answer whose `ran` is
    /// `not_run`.
    ///
    /// `not_run` guarantees that the id never starts. Another copy of the same
    /// submission may arrive later through another entry, when the reason for
    /// the refusal no longer applies. The refusal is therefore recorded as the
    /// answer of the id, and that copy gets the same answer. A caller that
    /// wants to retry forms a new id.
    ///
    /// Returns the decision that applies: `answered` with the given answer, or
    /// what `admit` returns for an id that was accepted before or can't be
    /// accepted. Never returns `start`.
    admission_decision refuse(submission_id const& id,
                              body_digest const& digest, answer_ptr answer,
                              time_point now);

    /// Ends a running submission. Returns false, and changes nothing, when it
    /// is not running.
    bool finish(submission_id const& id, answer_ptr answer, time_point now);

    /// Looks up an id, for a caller that fetches an answer: `attach`,
    /// `answered` or `refused`; `unknown_id` when it was not accepted. Changes
    /// nothing.
    admission_decision find(submission_id const& id) const;

    /// Stops starting new submissions. Admission never opens again, so an id
    /// that is not in the table did not run and never will, unless its
    /// generation was evicted.
    void close_admission();

    /// Closes admission, ends running submissions with `outcome_unknown` and an
    /// empty body, and returns the whole table for a successor. The table is
    /// final from then on: `finish` and `rotate` change nothing, and a second
    /// call returns the same records, so that two successors give the same
    /// answers.
    handover_table export_records(time_point now);

    table_statistics statistics() const;

private:
    struct submission_record
    {
        body_digest digest;
        /// Empty while the submission runs.
        answer_ptr answer;
        submission_number number = 0;
    };

    /// Keyed by nonce.
    using id_map = std::unordered_map<std::string, submission_record>;

    struct generation
    {
        time_point started;
        /// When the next one started. Unset for the current generation.
        time_point ended;
        time_point last_answer;
        std::size_t answer_bytes = 0;
        id_map running;
        id_map answered;
    };

    generation& current();
    generation const& current() const;
    std::uint32_t current_number() const;
    submission_record const* find_record(submission_id const& id) const;

    admission_decision decide(submission_id const& id,
                              body_digest const& digest, time_point now);
    std::optional<admission_decision> check_home(submission_id const& id) const;
    std::optional<admission_decision>
    decide_recorded(submission_id const& id, body_digest const& digest) const;
    std::optional<admission_decision>
    refuse_unrecorded(submission_id const& id) const;
    admission_decision start(submission_id const& id, body_digest const& digest,
                             time_point now);
    void keep_answer(generation& holder, id_map::node_type node,
                     answer_ptr answer, time_point now);
    void end_running(generation& holder, time_point now);

    void start_generation(time_point now);
    void start_generation_if_large(time_point now);
    void close_old_generations(time_point now);
    bool retention_passed(generation const& old, time_point now) const;
    bool ensure_capacity_for_id(time_point now);
    void trim_answers(time_point now);
    bool evict_early(time_point now);
    std::size_t evict(std::uint32_t number);
    void free_evicted(std::size_t count);

    submission_table_options options_;
    token_signer signer_;
    home_token token_;
    /// Keyed by number. The last one is the current one.
    std::map<std::uint32_t, generation> generations_;
    /// Evicted ids, whose memory is freed a few at a time, so that no call is
    /// delayed by a large deallocation.
    std::vector<id_map> evicted_;
    /// Ids of generations below this one may have been evicted.
    std::uint32_t oldest_generation_ = 0;
    /// Generations below this one accept no new ids. Never lowered, so that a
    /// clock that steps back can't admit an id that was refused.
    std::uint32_t oldest_open_generation_ = 0;
    submission_number last_number_ = 0;
    bool closed_ = false;
    bool exported_ = false;
    std::uint64_t ids_dropped_early_ = 0;
    std::uint64_t refused_full_ = 0;
    std::size_t ids_ = 0;
    std::size_t running_ = 0;
    std::size_t answer_bytes_ = 0;
};

} // namespace masticshift::homes

#endif
