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
    row made;
    made.at = at;
    made.guards = info_of(at).guards;
    for (auto const kind : kinds)
    {
        auto const& info = info_of(kind);
        made.name += (made.name.empty() ? "" : "+") + std::string(info.name);
        made.guards = info.guards.value_or(made.guards);
    }
    made.name += "@" + std::string(info_of(at).name);
    made.faults = std::move(kinds);
    return made;
}

// Each rule once at least.
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
    for (auto const& [kind, at] : short_names)
        rows.push_back(make_row({kind}, at));
    return rows;
}

std::vector<row> pair_rows(unsigned count, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<row> rows;
    for (unsigned i = 0; i < count; ++i)
    {
        auto const first = random() % faults().size();
        auto const offset = 1 + random() % (faults().size() - 1);
        auto const second = (first + offset) % faults().size();
        auto const at = random() % steps().size();
        rows.push_back(make_row({faults()[first].kind, faults()[second].kind},
                                steps()[at].kind));
    }
    return rows;
}

} // namespace masticshift::fault_matrix
