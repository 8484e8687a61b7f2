#ifndef MASTICSHIFT_CLI_RANDOM_ID_HPP
#define MASTICSHIFT_CLI_RANDOM_ID_HPP

#include <string>

namespace masticshift::cli
{

/// 128 random bits as hexadecimal digits.
std::string random_id();

} // namespace masticshift::cli

#endif
