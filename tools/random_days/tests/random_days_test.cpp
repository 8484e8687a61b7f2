#include "day_text.hpp"

#include <doctest/doctest.h>
#include <toml++/toml.h>

#include <set>

using namespace masticshift::random_days;

namespace
{

constexpr unsigned seeds = 400;
constexpr trouble_bounds bounds{2, 10};

std::string text_of(unsigned seed)
{
    return to_toml(draw_day(seed, bounds));
}

toml::table parse_day(unsigned seed)
{
    auto const file = toml::parse(text_of(seed));
    auto const* const days = file["day"].as_array();
    REQUIRE(days != nullptr);
    REQUIRE(days->size() == 1);
    return *days->get(0)->as_table();
}

/// The entries of `plan` and `faults`.
std::vector<toml::table> entries_of(toml::table const& day)
{
    std::vector<toml::table> entries;
    for (auto const* name : {"plan", "faults"})
    {
        auto const* const part = day[name].as_array();
        REQUIRE(part != nullptr);
        for (auto const& each : *part)
            entries.push_back(*each.as_table());
    }
    return entries;
}

/// Words of all `how` of the table, each with its kind.
std::set<std::string> words_of_table()
{
    std::set<std::string> words;
    for (auto const& kind : trouble_kinds())
    {
        for (auto const& list : kind.how)
        {
            for (auto const word : list)
                words.insert(std::string(kind.name) + " " + std::string(word));
        }
    }
    return words;
}

/// Whether the words of `how` contain this one, which may be a phrase.
bool has_word(std::string const& how, std::string const& word)
{
    return (" " + how + " ").find(" " + word + " ") != std::string::npos;
}

} // namespace

// A day that broke a rule must come again from its seed.
TEST_CASE("the same seed gives the same day, and others give other days")
{
    std::set<std::string> days;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        auto const text = text_of(seed);
        CHECK(text == text_of(seed));
        days.insert(text);
    }
    CHECK(days.size() == seeds);
}

// The bench refuses a whole file for one wrong entry.
TEST_CASE("a day is TOML with the wanted number of troubles inside the day")
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        auto const day = parse_day(seed);
        CHECK(day["slot"].value<std::string>() == "trouble");
        CHECK(day["seed"].value<unsigned>() == seed);
        CHECK(day["length_s"].value<double>() == day_length_s);
        auto const entries = entries_of(day);
        CHECK(entries.size() >= bounds.least);
        CHECK(entries.size() <= bounds.most);
        for (auto const& entry : entries)
        {
            auto const at = entry["at"].value<double>();
            REQUIRE(at.has_value());
            CHECK(*at > 0);
            CHECK(*at < day_length_s);
        }
    }
}

TEST_CASE("the number of troubles can be fixed")
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
        CHECK(draw_day(seed, {5, 5}).troubles.size() == 5);
}

// A kind that never comes leaves its faults unseen.
TEST_CASE("every kind and every word of its `how` occurs")
{
    auto missing = words_of_table();
    std::set<std::string> kinds;
    for (unsigned seed = 1; seed <= 10 * seeds; ++seed)
    {
        for (auto const& each : draw_day(seed, bounds).troubles)
        {
            std::string const kind(each.kind->name);
            kinds.insert(kind);
            std::string how;
            for (auto const& field : each.fields)
            {
                if (field.name == "how")
                    how = std::get<std::string>(field.value);
            }
            std::erase_if(missing,
                          [&](std::string const& word)
                          {
                              auto const start = kind.size() + 1;
                              return word.starts_with(kind + " ") &&
                                     (word.size() == start ||
                                      has_word(how, word.substr(start)));
                          });
        }
    }
    for (auto const& kind : trouble_kinds())
        CHECK_MESSAGE(kinds.contains(std::string(kind.name)), kind.name);
    for (auto const& word : missing)
        FAIL_CHECK("never drawn: " << word);
}

// Troubles that follow each other one by one leave out what their overlap
// shows.
TEST_CASE("most days have troubles that begin within two seconds")
{
    unsigned close = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        auto const day = draw_day(seed, bounds);
        bool found = false;
        for (std::size_t i = 1; i < day.troubles.size(); ++i)
            found |= day.troubles[i].at - day.troubles[i - 1].at <= 2.0;
        close += found ? 1 : 0;
    }
    CHECK(close > seeds / 2);
}

TEST_CASE("a name in a day stands for one of any deployment")
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        for (auto const& entry : entries_of(parse_day(seed)))
        {
            for (auto const* field : {"class", "service", "zone", "to_zone"})
            {
                if (auto const name = entry[field].value<std::string>())
                    CHECK(name->starts_with("@"));
            }
        }
    }
}
