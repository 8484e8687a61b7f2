#ifndef MASTICSHIFT_RANDOM_DAYS_TROUBLE_KIND_HPP
#define MASTICSHIFT_RANDOM_DAYS_TROUBLE_KIND_HPP

#include <string_view>
#include <vector>

namespace masticshift::random_days
{

/// The array of a day that a trouble stands in.
enum class day_part
{
    plan,
    faults
};

/// A field with a number between two bounds.
struct number_field
{
    std::string_view name;
    double least = 0;
    double most = 0;
    bool is_whole = false;
    /// How often the field is written; the bench has a default otherwise.
    int percent = 100;
};

/// A field with a name.
struct text_field
{
    std::string_view name;
    std::string_view value;
    int percent = 100;
};

/// Words that exclude each other. The value of `how` has one word of each list;
/// an empty word adds nothing.
using word_list = std::vector<std::string_view>;

/// What a trouble of this kind may be like, as `fleetbench kinds` describes it.
struct trouble_kind
{
    std::string_view name;
    day_part part = day_part::faults;
    std::vector<number_field> numbers{};
    std::vector<text_field> texts{};
    std::vector<word_list> how{};
};

/// All kinds.
std::vector<trouble_kind> const& trouble_kinds();

} // namespace masticshift::random_days

#endif
