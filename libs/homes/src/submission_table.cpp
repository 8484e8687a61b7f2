#include <homes/submission_table.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticshift::homes
{

namespace
{

using enum result_code;

constexpr std::uint32_t first_generation = 1;

// Eviction by a limit removes whole generations. A new generation starts when
// the current one reaches a limit divided by this number, so that only a small
// part of the answers is evicted at a time.
constexpr std::size_t generations_per_limit = 8;

// Number of evicted ids that one call frees. A submission adds only one id, so
// ids are freed much faster than they are added.
constexpr std::size_t freed_per_submission = 32;
constexpr std::size_t freed_per_rotation = 1'024;

std::size_t limit_per_generation(std::size_t limit)
{
    return std::max<std::size_t>(1, limit / generations_per_limit);
}

answer_ptr unknown_outcome_answer()
{
    kept_answer answer;
    answer.code = outcome_unknown;
    answer.ran = ran_state::unknown;
    answer.http_status = info_of(outcome_unknown).http_status;
    return std::make_shared<kept_answer const>(std::move(answer));
}

admission_decision attached(submission_number number)
{
    admission_decision decision;
    decision.kind = decision_kind::attach;
    decision.number = number;
    return decision;
}

} // namespace

submission_table::submission_table(submission_table_options options,
                                   time_point now)
    : options_(std::move(options)),
      signer_(options_.key),
      oldest_generation_(first_generation),
      oldest_open_generation_(first_generation)
{
    start_generation(now);
}

home_token submission_table::current_token() const
{
    return token_;
}

void submission_table::rotate(time_point now)
{
    if (exported_)
        return;
    if (!closed_ && now - current().started >= options_.generation)
        start_generation(now);
    close_old_generations(now);
    auto const last = std::prev(generations_.end());
    for (auto at = generations_.begin(); at != last;)
    {
        auto const& [number, old] = *at++;
        if (retention_passed(old, now))
            evict(number);
        else if (number >= oldest_generation_)
            break;
    }
    free_evicted(freed_per_rotation);
}

admission_decision submission_table::admit(submission_id const& id,
                                           body_digest const& digest,
                                           time_point now)
{
    return decide(id, digest, now);
}

admission_decision submission_table::refuse(submission_id const& id,
                                            body_digest const& digest,
                                            answer_ptr answer, time_point now)
{
    auto decision = decide(id, digest, now);
    if (decision.kind != decision_kind::start)
        return decision;
    finish(id, answer, now);
    return make_answered(std::move(answer));
}

bool submission_table::finish(submission_id const& id, answer_ptr answer,
                              time_point now)
{
    if (find_record(id) == nullptr)
        return false;
    auto& holder = generations_.at(id.home.generation);
    auto node = holder.running.extract(id.nonce);
    if (node.empty())
        return false;
    keep_answer(holder, std::move(node), std::move(answer), now);
    trim_answers(now);
    start_generation_if_large(now);
    return true;
}

admission_decision submission_table::find(submission_id const& id) const
{
    if (auto refusal = check_home(id))
        return *std::move(refusal);
    if (auto const* const found = find_record(id))
        return found->answer ? make_answered(found->answer)
                             : attached(found->number);
    auto const refusal = refuse_unrecorded(id);
    if (refusal && refusal->ran == ran_state::unknown)
        return *refusal;
    // An id that can still be accepted may run later.
    auto const ran = refusal ? ran_state::not_run : ran_state::unknown;
    return make_refusal(unknown_id, ran,
                        "this id was not submitted to this entry");
}

void submission_table::close_admission()
{
    closed_ = true;
}

handover_table submission_table::export_records(time_point now)
{
    close_admission();
    exported_ = true;
    handover_table table;
    table.header = {options_.self, oldest_generation_, current_number(), ids_};
    table.records.reserve(ids_);
    for (auto& [number, holder] : generations_)
    {
        home_token token{
            options_.self.address, options_.self.incarnation, number, {}};
        token = signer_.sign(std::move(token));
        end_running(holder, now);
        for (auto const& [nonce, found] : holder.answered)
            table.records.push_back(
                {{token, nonce}, found.digest, found.answer});
    }
    return table;
}

table_statistics submission_table::statistics() const
{
    return {ids_,
            running_,
            answer_bytes_,
            generations_.size(),
            ids_dropped_early_,
            refused_full_};
}

submission_table::generation& submission_table::current()
{
    return std::prev(generations_.end())->second;
}

submission_table::generation const& submission_table::current() const
{
    return std::prev(generations_.end())->second;
}

std::uint32_t submission_table::current_number() const
{
    return std::prev(generations_.end())->first;
}

submission_table::submission_record const*
submission_table::find_record(submission_id const& id) const
{
    if (!is_home_of(id.home, options_.self))
        return nullptr;
    auto const holder = generations_.find(id.home.generation);
    if (holder == generations_.end())
        return nullptr;
    for (auto const* ids : {&holder->second.running, &holder->second.answered})
    {
        auto const found = ids->find(id.nonce);
        if (found != ids->end())
            return &found->second;
    }
    return nullptr;
}

admission_decision submission_table::decide(submission_id const& id,
                                            body_digest const& digest,
                                            time_point now)
{
    free_evicted(freed_per_submission);
    close_old_generations(now);
    if (auto refusal = check_home(id))
        return *std::move(refusal);
    if (auto decision = decide_recorded(id, digest))
        return *std::move(decision);
    if (auto refusal = refuse_unrecorded(id))
        return *std::move(refusal);
    if (!ensure_capacity_for_id(now))
    {
        ++refused_full_;
        return make_refusal(
            overloaded, ran_state::unknown,
            "the table of this entry is full of running submissions");
    }
    // Eviction may have removed the generation of this id.
    if (auto refusal = refuse_unrecorded(id))
        return *std::move(refusal);
    return start(id, digest, now);
}

std::optional<admission_decision>
submission_table::check_home(submission_id const& id) const
{
    if (!is_home_of(id.home, options_.self))
        return make_refusal(outcome_unknown, ran_state::unknown,
                            "the home of this id is another process");
    auto const verified = signer_.verify(id.home);
    if (!verified)
        // The key of a process never changes, so every copy of this id is
        // refused.
        return make_refusal(verified.error().code, ran_state::not_run,
                            verified.error().detail);
    return std::nullopt;
}

std::optional<admission_decision>
submission_table::decide_recorded(submission_id const& id,
                                  body_digest const& digest) const
{
    auto const* const found = find_record(id);
    if (found == nullptr)
        return std::nullopt;
    if (found->digest != digest)
    {
        auto const ran =
            found->answer ? found->answer->ran : ran_state::unknown;
        return make_refusal(id_reused, ran,
                            "the id was submitted with another body");
    }
    if (found->answer)
        return make_answered(found->answer);
    return attached(found->number);
}

std::optional<admission_decision>
submission_table::refuse_unrecorded(submission_id const& id) const
{
    auto const number = id.home.generation;
    if (number < oldest_generation_)
        return make_refusal(
            id_expired, ran_state::unknown,
            "the records of this id's generation have been evicted");
    if (closed_)
        return make_refusal(draining, ran_state::not_run,
                            "this entry is stopping and accepts no new ids");
    if (number > current_number())
        // That generation may start later and then accept this id.
        return make_refusal(id_malformed, ran_state::unknown,
                            "the generation of this id has not started");
    if (number < oldest_open_generation_)
        return make_refusal(
            id_expired, ran_state::not_run,
            "the generation of this id no longer accepts new ids");
    return std::nullopt;
}

admission_decision submission_table::start(submission_id const& id,
                                           body_digest const& digest,
                                           time_point now)
{
    auto& holder = generations_.at(id.home.generation);
    auto const number = ++last_number_;
    holder.running.emplace(id.nonce,
                           submission_record{digest, nullptr, number});
    ++running_;
    ++ids_;
    start_generation_if_large(now);
    admission_decision decision;
    decision.kind = decision_kind::start;
    decision.number = number;
    return decision;
}

void submission_table::keep_answer(generation& holder, id_map::node_type node,
                                   answer_ptr answer, time_point now)
{
    auto const size = size_of(*answer);
    node.mapped().answer = std::move(answer);
    holder.answered.insert(std::move(node));
    holder.last_answer = now;
    holder.answer_bytes += size;
    answer_bytes_ += size;
    --running_;
}

void submission_table::end_running(generation& holder, time_point now)
{
    auto const answer = unknown_outcome_answer();
    auto& running = holder.running;
    while (!running.empty())
        keep_answer(holder, running.extract(running.begin()), answer, now);
}

void submission_table::start_generation(time_point now)
{
    auto number = first_generation;
    if (!generations_.empty())
    {
        current().ended = now;
        number = current_number() + 1;
    }
    generations_[number].started = now;
    token_ = signer_.sign(
        {options_.self.address, options_.self.incarnation, number, {}});
}

void submission_table::start_generation_if_large(time_point now)
{
    auto const& filled = current();
    auto const ids = filled.running.size() + filled.answered.size();
    bool const large =
        ids >= limit_per_generation(options_.max_ids) ||
        filled.answer_bytes >= limit_per_generation(options_.max_answer_bytes);
    if (large && !closed_)
        start_generation(now);
}

void submission_table::close_old_generations(time_point now)
{
    auto const last = std::prev(generations_.end());
    for (auto at = generations_.lower_bound(oldest_open_generation_);
         at != last && now - at->second.ended >= options_.retention; ++at)
        oldest_open_generation_ = at->first + 1;
}

bool submission_table::retention_passed(generation const& old,
                                        time_point now) const
{
    auto const since = std::max(old.ended, old.last_answer);
    return now - since >= options_.retention;
}

bool submission_table::ensure_capacity_for_id(time_point now)
{
    while (ids_ >= options_.max_ids)
    {
        if (!evict_early(now))
            return false;
    }
    return true;
}

void submission_table::trim_answers(time_point now)
{
    while (answer_bytes_ > options_.max_answer_bytes && evict_early(now))
    {
    }
}

// Evicts the oldest generation that has answers. Returns false if there is
// none.
bool submission_table::evict_early(time_point now)
{
    for (auto const& [number, old] : generations_)
    {
        if (old.answered.empty())
            continue;
        if (&old == &current())
            start_generation(now);
        ids_dropped_early_ += evict(number);
        return true;
    }
    return false;
}

// Evicts the answers of a generation and returns their number. Running
// submissions stay, so that copies of them attach.
std::size_t submission_table::evict(std::uint32_t number)
{
    oldest_generation_ = std::max(oldest_generation_, number + 1);
    auto& old = generations_.at(number);
    auto const evicted = old.answered.size();
    ids_ -= evicted;
    answer_bytes_ -= std::exchange(old.answer_bytes, 0);
    if (evicted > 0)
        evicted_.push_back(std::exchange(old.answered, {}));
    if (old.running.empty())
        generations_.erase(number);
    return evicted;
}

void submission_table::free_evicted(std::size_t count)
{
    for (; count > 0 && !evicted_.empty(); --count)
    {
        auto& ids = evicted_.back();
        ids.erase(ids.begin());
        if (ids.empty())
            evicted_.pop_back();
    }
}

} // namespace masticshift::homes
