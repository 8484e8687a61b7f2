#include "random_day.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace masticshift::random_days
{

namespace
{

constexpr double earliest_s = 1.0;
constexpr double latest_s = 30.0;

/// A trouble that follows another one begins within this time.
constexpr double longest_gap_s = 2.0;
constexpr int follow_percent = 50;

/// Numbers are written in hundredths.
constexpr double hundred = 100.0;

/// Not the distributions of the standard library, which differ between
/// implementations.
class dice
{
public:
    explicit dice(unsigned seed) : engine_(seed)
    {
    }

    std::int64_t whole(std::int64_t least, std::int64_t most)
    {
        auto const count = static_cast<std::uint64_t>(most - least + 1);
        return least + static_cast<std::int64_t>(engine_() % count);
    }

    double real(double least, double most)
    {
        auto const from = std::llround(least * hundred);
        auto const to = std::llround(most * hundred);
        return static_cast<double>(whole(from, to)) / hundred;
    }

    bool chance(int percent)
    {
        return whole(0, 99) < percent;
    }

    template <class List>
    auto const& one_of(List const& list)
    {
        auto const last = static_cast<std::int64_t>(list.size()) - 1;
        return list[static_cast<std::size_t>(whole(0, last))];
    }

private:
    std::mt19937 engine_;
};

std::string draw_how(std::vector<word_list> const& lists, dice& random)
{
    std::string how;
    for (auto const& words : lists)
    {
        auto const word = random.one_of(words);
        if (word.empty())
            continue;
        how.append(how.empty() ? "" : " ").append(word);
    }
    return how;
}

field_value draw_number(number_field const& field, dice& random)
{
    if (!field.is_whole)
        return random.real(field.least, field.most);
    return random.whole(static_cast<std::int64_t>(field.least),
                        static_cast<std::int64_t>(field.most));
}

std::vector<trouble_field> draw_fields(trouble_kind const& kind, dice& random)
{
    std::vector<trouble_field> fields;
    for (auto const& field : kind.texts)
    {
        if (random.chance(field.percent))
            fields.push_back(
                {std::string(field.name), std::string(field.value)});
    }
    for (auto const& field : kind.numbers)
    {
        if (random.chance(field.percent))
            fields.push_back(
                {std::string(field.name), draw_number(field, random)});
    }
    if (auto how = draw_how(kind.how, random); !how.empty())
        fields.push_back({"how", std::move(how)});
    return fields;
}

double draw_time(std::vector<trouble> const& earlier, dice& random)
{
    if (earlier.empty() || !random.chance(follow_percent))
        return random.real(earliest_s, latest_s);
    auto const at = random.one_of(earlier).at + random.real(0, longest_gap_s);
    return std::min(at, latest_s);
}

} // namespace

random_day draw_day(unsigned seed, trouble_bounds bounds)
{
    dice random(seed);
    random_day day{seed, {}};
    auto const count = random.whole(bounds.least, bounds.most);
    for (std::int64_t i = 0; i < count; ++i)
    {
        auto const& kind = random.one_of(trouble_kinds());
        auto const at = draw_time(day.troubles, random);
        day.troubles.push_back({&kind, at, draw_fields(kind, random)});
    }
    std::ranges::stable_sort(day.troubles, {}, &trouble::at);
    return day;
}

} // namespace masticshift::random_days
