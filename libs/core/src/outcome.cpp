#include <core/outcome.hpp>

#include <ostream>
#include <stdexcept>

namespace masticshift
{

std::ostream& operator<<(std::ostream& out, failure const& error)
{
    return out << name_of(error.code) << ": " << error.detail;
}

void throw_exception_from_error(failure const& error,
                                boost::source_location const& at)
{
    throw std::logic_error(std::string(name_of(error.code)) + ": " +
                           error.detail + " at " + at.to_string());
}

} // namespace masticshift
