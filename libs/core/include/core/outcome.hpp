#ifndef MASTICSHIFT_CORE_OUTCOME_HPP
#define MASTICSHIFT_CORE_OUTCOME_HPP

#include <core/result_code.hpp>

#include <boost/system/result.hpp>

#include <iosfwd>
#include <string>

namespace masticshift
{

/// A result code with a detail that names the cause.
struct failure
{
    result_code code = result_code::internal;
    std::string detail;
};

/// Writes `NAME: DETAIL`.
std::ostream& operator<<(std::ostream& out, failure const& error);

/// A value or a failure, for coroutines and other asynchronous paths.
///
/// Synchronous parse functions return `boost::leaf::result` instead. LEAF keeps
/// its error objects in contexts of the current thread, and these do not
/// survive the suspension of a coroutine.
template <class T>
using outcome = boost::system::result<T, failure>;

/// Called by `outcome::value()` when there is no value, which is a programming
/// error. Throws `std::logic_error`.
[[noreturn]] void throw_exception_from_error(failure const& error,
                                             boost::source_location const& at);

} // namespace masticshift

#endif
