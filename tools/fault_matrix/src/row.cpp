#include "row.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace masticshift::fault_matrix
{

namespace
{

row make_row(std::vector<fault> kinds, step at)
{
    row result;
    result.at = at;
    result.rule_under_test = info_of(at).rule_under_test;
    for (auto const kind : kinds)
    {
        auto const& info = info_of(kind);
        result.name +=
            (result.name.empty() ? "" : "+") + std::string(info.name);
        result.rule_under_test =
            info.rule_under_test.value_or(result.rule_under_test);
    }
    result.name += "@" + std::string(info_of(at).name);
    result.faults = std::move(kinds);
    return result;
}

bool targets_successor(fault kind)
{
    return kind == fault::kill_successor || kind == fault::freeze_successor ||
           kind == fault::drain_successor ||
           kind == fault::restart_without_platform;
}

bool cuts_peers(fault kind)
{
    return kind == fault::cut_peers || kind == fault::isolate_entry;
}

/// Whether two faults can be injected together. Not if both affect the
/// successor's process, or if an entry would restart without platform and
/// peers, as it would never become ready.
bool can_combine(fault one, fault other)
{
    if (one == other)
        return false;
    if (targets_successor(one) && targets_successor(other))
        return false;
    auto const is_never_ready = [](fault restarted, fault cut)
    {
        return restarted == fault::restart_without_platform && cuts_peers(cut);
    };
    return !is_never_ready(one, other) && !is_never_ready(other, one);
}

// Covers each rule at least once.
constexpr std::array short_names{
    std::pair{fault::kill_entry, step::resubmit},
    std::pair{fault::freeze_entry, step::admit},
    std::pair{fault::cut_endpoint, step::start},
    std::pair{fault::silent_peers, step::resubmit},
    std::pair{fault::platform_loses_answers, step::apply},
    std::pair{fault::endpoint_fails_all, step::answer},
    std::pair{fault::endpoint_leaves, step::start},
    std::pair{fault::crossed_answers, step::answer},
    std::pair{fault::stragglers, step::drain}};

} // namespace

std::vector<row> single_rows()
{
    std::vector<row> rows;
    for (auto const& kind : faults())
    {
        for (auto const& at : steps())
            rows.push_back(make_row({kind.kind}, at.kind));
    }
    return rows;
}

std::vector<row> short_rows()
{
    std::vector<row> rows;
    rows.reserve(short_names.size());
    for (auto const& [kind, at] : short_names)
        rows.push_back(make_row({kind}, at));
    return rows;
}

std::vector<row> pair_rows(unsigned count, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<row> rows;
    rows.reserve(count);
    while (rows.size() < count)
    {
        auto const first = faults()[random() % faults().size()].kind;
        auto const second = faults()[random() % faults().size()].kind;
        auto const at = steps()[random() % steps().size()].kind;
        if (can_combine(first, second))
            rows.push_back(make_row({first, second}, at));
    }
    return rows;
}

} // namespace masticshift::fault_matrix
