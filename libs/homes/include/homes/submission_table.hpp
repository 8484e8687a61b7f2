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
    /// Address and incarnation of this process. No other process may ever
    /// have had both.
    process_name self;
    /// Key of the MAC in home tokens. No MAC when empty.
    std::string key;
    /// A new generation begins after this time, or earlier when the current
    /// one holds an eighth of one of the limits below.
    milliseconds generation{120'000};
    /// Time that an answer is kept, unless a limit is hit. New ids of a
    /// generation are taken for as long after it ended.
    milliseconds retention{600'000};
    std::size_t max_ids = 100'000;
    /// Bytes of all kept answers.
    std::size_t max_answer_bytes = 24 << 20;
};

struct table_statistics
{
    std::size_t ids = 0;
    std::size_t running = 0;
    std::size_t answer_bytes = 0;
    std::size_t generations = 0;
    /// Ids whose answers a limit dropped before their retention, in total.
    std::uint64_t ids_dropped_early = 0;
    /// Submissions refused because no place was left for them, in total.
    std::uint64_t refused_full = 0;
};

/// The one place that decides whether a submission starts.
///
/// `admit` gives `start` at most once for an id over the life of the process.
/// An id that is not in the table starts only while admission is open and its
/// generation has forgotten nothing. Whole generations are forgotten, oldest
/// first; their ids are `id_expired` from then on. A running submission is
/// never forgotten.
///
/// Ids are told apart by generation and nonce, whatever their MAC. No decision
/// to start rests on the time given. Not safe to use from several threads at
/// once.
class submission_table
{
public:
    submission_table(submission_table_options options, time_point now);

    /// The token that callers form new ids from.
    home_token current_token() const;

    /// Begins a new generation when one is due and forgets those whose
    /// retention has passed. To be called at least once a second.
    void rotate(time_point now);

    /// Decides about one copy of a submission. Refusals:
    ///
    /// - `outcome_unknown`: the id names another process
    /// - `id_forged`: the MAC of its token is wrong
    /// - `id_malformed`: its generation has not begun
    /// - `id_reused`: the id was taken with another digest
    /// - `id_expired`: its generation takes no new ids; `not_run` when it is
    ///   certain that the id was never taken
    /// - `overloaded`: the table is full of running submissions; `unknown`
    ///   since this refusal can't be remembered and a copy may start later
    /// - `draining`: admission is closed
    admission_decision admit(submission_id const& id, body_digest const& digest,
                             time_point now);

    /// Refuses a submission for good, with an answer whose `ran` is
    /// `not_run`.
    ///
    /// `not_run` promises that the id never starts. Another copy of the same
    /// submission may be under way through another entry and arrive after this
    /// answer, when the reason for it is gone. So the refusal takes the place
    /// of the id in the table, and that copy gets the same answer. A caller
    /// that wants to try again forms a new id.
    ///
    /// Gives the answer that is valid: `answered` with the given one, or what
    /// `admit` would give for an id that was taken before or can't be. Never
    /// gives `start`.
    admission_decision refuse(submission_id const& id,
                              body_digest const& digest, answer_ptr answer,
                              time_point now);

    /// Ends a running submission. False when it isn't running; its kept
    /// answer stays as it is then.
    bool finish(submission_id const& id, answer_ptr answer, time_point now);

    /// What is known of an id: `attach`, `answered` or `refused`, as
    /// `unknown_id` when it was not taken. Changes nothing.
    admission_decision find(submission_id const& id) const;

    /// From now on no new submission starts. Admission never opens again, so
    /// an id that is not in the table did not run and never will.
    void close_admission();

    /// Ends what still runs as `outcome_unknown`, with an empty body, and gives
    /// the whole table for a successor. Closes admission. The table is final
    /// then: `finish` and `rotate` change nothing, and a second call gives the
    /// same records, so that two successors give the same answers.
    handover_table export_records(time_point now);

    table_statistics statistics() const;

private:
    struct entry
    {
        body_digest digest;
        /// Empty while the submission runs.
        answer_ptr answer;
        submission_number number = 0;
    };

    /// By nonce.
    using id_map = std::unordered_map<std::string, entry>;

    struct generation
    {
        time_point began;
        /// When the next one began. Unset for the current generation.
        time_point ended;
        time_point last_answer;
        std::size_t answer_bytes = 0;
        id_map running;
        id_map answered;
    };

    generation& current();
    generation const& current() const;
    std::uint32_t current_number() const;
    entry const* find_entry(submission_id const& id) const;

    admission_decision take(submission_id const& id, body_digest const& digest,
                            time_point now);
    std::optional<admission_decision> check_home(submission_id const& id) const;
    std::optional<admission_decision>
    decide_taken(submission_id const& id, body_digest const& digest) const;
    std::optional<admission_decision>
    refuse_untaken(submission_id const& id) const;
    admission_decision start(submission_id const& id, body_digest const& digest,
                             time_point now);
    void keep_answer(generation& holder, id_map::node_type held,
                     answer_ptr answer, time_point now);
    void end_running(generation& holder, time_point now);

    void begin_generation(time_point now);
    void begin_generation_if_large(time_point now);
    void close_old_generations(time_point now);
    bool retention_passed(generation const& old, time_point now) const;
    bool make_room_for_id(time_point now);
    void trim_answers(time_point now);
    bool forget_early(time_point now);
    std::size_t forget(std::uint32_t number);
    void free_forgotten(std::size_t count);

    submission_table_options options_;
    token_signer signer_;
    home_token token_;
    /// By number. The last one is the current one.
    std::map<std::uint32_t, generation> generations_;
    /// Freed a few at a time, so that no call is held up by a large drop.
    std::vector<id_map> forgotten_;
    /// Generations below this one may have forgotten ids.
    std::uint32_t oldest_generation_ = 0;
    /// Generations below this one take no new ids. Only ever raised, so that
    /// a time which steps back cannot admit an id that was refused.
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
