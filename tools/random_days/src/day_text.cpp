#include "day_text.hpp"

#include <cstdio>

namespace masticshift::random_days
{

namespace
{

std::string to_text(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", number);
    return text;
}

std::string to_text(std::int64_t number)
{
    return std::to_string(number);
}

std::string to_text(std::string const& text)
{
    return '"' + text + '"';
}

std::string to_text(field_value const& value)
{
    return std::visit(
        [](auto const& held)
        {
            return to_text(held);
        },
        value);
}

std::string to_text(trouble const& each)
{
    std::string text = "  { at = " + to_text(each.at) +
                       ", kind = " + to_text(std::string(each.kind->name));
    for (auto const& field : each.fields)
        text.append(", ")
            .append(field.name)
            .append(" = ")
            .append(to_text(field.value));
    return text + " },\n";
}

std::string part_text(random_day const& day, day_part part,
                      std::string const& name)
{
    std::string text = name + " = [\n";
    for (auto const& each : day.troubles)
    {
        if (each.kind->part == part)
            text += to_text(each);
    }
    return text + "]\n";
}

} // namespace

std::string to_toml(random_day const& day)
{
    auto const seed = std::to_string(day.seed);
    return "[[day]]\nname = \"random-" + seed +
           "\"\nslot = \"trouble\"\nseed = " + seed +
           "\nlength_s = " + to_text(day_length_s) + "\n" +
           part_text(day, day_part::plan, "plan") +
           part_text(day, day_part::faults, "faults");
}

} // namespace masticshift::random_days
