#include <core/outcome.hpp>

#include <stdexcept>

namespace masticshift
{

void throw_exception_from_error(failure const& error,
                                boost::source_location const& at)
{
    throw std::logic_error(std::string(name_of(error.code)) + ": " +
                           error.detail + " at " + at.to_string());
}

} // namespace masticshift
