#include <homes/inherited_tables.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::homes
{

namespace
{

using enum result_code;

failure contradiction(std::string detail)
{
    return {peer_protocol, std::move(detail)};
}

// To be checked before a table is created for the part. A table would keep the
// header of an invalid part: valid parts with another header would be rejected,
// and with a `record_count` of 0 an empty last part would complete the table,
// which would then report every id as `not_run`.
outcome<void> check_records(handover_part const& part)
{
    if (part.records.size() > part.header.record_count)
        return contradiction(
            "the part has more records than its header announces");
    for (auto const& record : part.records)
    {
        if (!is_home_of(record.id.home, part.header.process))
            return contradiction("a record has an id of another process");
        if (!record.answer)
            return contradiction("a record has no answer");
    }
    return {};
}

admission_decision not_held()
{
    return make_refusal(outcome_unknown, ran_state::unknown,
                        "this entry does not have the table of the id's home");
}

} // namespace

inherited_tables::inherited_tables(process_name self,
                                   inherited_tables_options options)
    : self_(std::move(self)), options_(options)
{
}

outcome<void> inherited_tables::accept(handover_part const& part,
                                       time_point now)
{
    expire(now);
    if (part.header.process == self_)
        return contradiction(
            "the part is of the receiving process's own table");
    if (auto checked = check_records(part); !checked)
        return checked;
    auto* const held = find_or_create(part.header, now);
    if (held == nullptr)
        return failure{overloaded,
                       "too many inherited tables or too many ids in them"};
    if (auto checked = check_against(*held, part); !checked)
        return checked;
    insert(*held, part);
    if (statistics().answer_bytes > options_.max_answer_bytes)
    {
        tables_.erase(part.header.process);
        return failure{
            overloaded,
            "the answers of the inherited tables exceed their size limit"};
    }
    held->last_received = held->last_received || part.last;
    if (part.last && !is_complete(*held))
        return contradiction("other parts of this table are missing");
    return {};
}

bool inherited_tables::holds(process_name const& process) const
{
    auto const held = tables_.find(process);
    return held != tables_.end() && is_complete(held->second);
}

admission_decision inherited_tables::find(submission_id const& id,
                                          body_digest const& digest) const
{
    auto const* const held = find_table(id);
    if (held == nullptr)
        return not_held();
    auto const* const found = find_record(*held, id);
    if (found == nullptr)
        return refuse_absent(*held, id, draining);
    if (found->digest != digest)
        return make_refusal(id_reused, found->answer->ran,
                            "the id was submitted with another body");
    return make_answered(found->answer);
}

admission_decision inherited_tables::find(submission_id const& id) const
{
    auto const* const held = find_table(id);
    if (held == nullptr)
        return not_held();
    auto const* const found = find_record(*held, id);
    if (found == nullptr)
        return refuse_absent(*held, id, unknown_id);
    return make_answered(found->answer);
}

void inherited_tables::expire(time_point now)
{
    std::erase_if(tables_,
                  [&](auto const& item)
                  {
                      return now - item.second.first_part >= options_.retention;
                  });
}

std::vector<process_name> inherited_tables::processes() const
{
    std::vector<process_name> names;
    for (auto const& [process, held] : tables_)
    {
        if (is_complete(held))
            names.push_back(process);
    }
    return names;
}

std::vector<handover_table> inherited_tables::export_tables() const
{
    std::vector<handover_table> exported;
    for (auto const& [process, held] : tables_)
    {
        if (is_complete(held))
            exported.push_back(export_table(held));
    }
    return exported;
}

inherited_statistics inherited_tables::statistics() const
{
    inherited_statistics sums;
    for (auto const& [process, held] : tables_)
    {
        ++sums.tables;
        sums.incomplete_tables += is_complete(held) ? 0 : 1;
        sums.ids += held.ids;
        sums.answer_bytes += held.answer_bytes;
    }
    return sums;
}

bool inherited_tables::is_complete(table const& held)
{
    return held.last_received && held.ids == held.header.record_count;
}

inherited_tables::kept_record const*
inherited_tables::find_record(table const& held, submission_id const& id)
{
    auto const ids = held.generations.find(id.home.generation);
    if (ids == held.generations.end())
        return nullptr;
    auto const found = ids->second.find(id.nonce);
    return found == ids->second.end() ? nullptr : &found->second;
}

outcome<void> inherited_tables::check_against(table const& held,
                                              handover_part const& part)
{
    if (held.header != part.header)
        return contradiction("the header differs from that of earlier parts");
    std::size_t unseen = 0;
    for (auto const& record : part.records)
    {
        auto const* const found = find_record(held, record.id);
        if (found == nullptr)
            ++unseen;
        else if (found->digest != record.digest)
            return contradiction("a record differs from an earlier one");
    }
    if (held.ids + unseen > held.header.record_count)
        return contradiction(
            "the table has more records than its header announces");
    return {};
}

void inherited_tables::insert(table& held, handover_part const& part)
{
    for (auto const& record : part.records)
    {
        auto& ids = held.generations[record.id.home.generation];
        auto const [at, added] = ids.try_emplace(
            record.id.nonce, kept_record{record.digest, record.answer});
        if (!added)
            continue;
        ++held.ids;
        held.answer_bytes += size_of(*record.answer);
    }
}

admission_decision inherited_tables::refuse_absent(table const& held,
                                                   submission_id const& id,
                                                   result_code code)
{
    if (id.home.generation < held.header.oldest_generation)
        return make_refusal(
            id_expired, ran_state::unknown,
            "the records of this id's generation have been evicted");
    return make_refusal(
        code, ran_state::not_run,
        "the home of this id stopped before it accepted the id");
}

handover_table inherited_tables::export_table(table const& held)
{
    auto const& process = held.header.process;
    handover_table exported{held.header, {}};
    exported.records.reserve(held.ids);
    for (auto const& [number, ids] : held.generations)
    {
        home_token const token{
            process.address, process.incarnation, number, {}};
        for (auto const& [nonce, found] : ids)
            exported.records.push_back(
                {{token, nonce}, found.digest, found.answer});
    }
    return exported;
}

inherited_tables::table const*
inherited_tables::find_table(submission_id const& id) const
{
    auto const held = tables_.find(home_process_of(id.home));
    if (held == tables_.end() || !is_complete(held->second))
        return nullptr;
    return &held->second;
}

inherited_tables::table*
inherited_tables::find_or_create(handover_header const& header, time_point now)
{
    auto const held = tables_.find(header.process);
    if (held != tables_.end())
        return &held->second;
    if (!has_capacity_for(header))
        return nullptr;
    auto& created = tables_[header.process];
    created.header = header;
    created.first_part = now;
    return &created;
}

bool inherited_tables::has_capacity_for(handover_header const& header) const
{
    if (header.record_count > options_.max_ids)
        return false;
    std::size_t ids = header.record_count;
    for (auto const& [process, held] : tables_)
        ids += held.header.record_count;
    return ids <= options_.max_ids && tables_.size() < options_.max_tables;
}

} // namespace masticshift::homes
