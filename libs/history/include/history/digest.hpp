#ifndef MASTICSHIFT_HISTORY_DIGEST_HPP
#define MASTICSHIFT_HISTORY_DIGEST_HPP

#include <history/event.hpp>

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace masticshift::history
{

/// XXH3 hash of the bytes, as 16 hexadecimal digits.
std::string digest_of(std::string_view bytes);

/// Digest of the value's serialized form.
std::string digest_of(boost::json::value const& value);

/// What a caller records of the output of one task. The stand-in of endpoints,
/// `endpoint_standin`, returns `{"echo": INPUT, ...}`. Any other output is
/// taken as the echo itself.
task_answer answer_of(unsigned task, boost::json::value const& output);

} // namespace masticshift::history

#endif
