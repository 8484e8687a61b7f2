#ifndef MASTICSHIFT_CORE_FINDING_HPP
#define MASTICSHIFT_CORE_FINDING_HPP

#include <string>
#include <vector>

namespace masticshift
{

enum class finding_level
{
    /// Something has no effect, or less than it seems to have.
    warning,
    /// Something can never work as it is written.
    error
};

constexpr char const* name_of(finding_level level)
{
    return level == finding_level::error ? "error" : "warning";
}

/// What a review of a valid configuration has found.
struct finding
{
    finding_level level = finding_level::warning;
    /// The key or table, such as `service.stock.timeout_ms`.
    std::string place;
    std::string detail;
};

using findings = std::vector<finding>;

} // namespace masticshift

#endif
