#include "random_id.hpp"

#include <random>

namespace masticshift::cli
{

namespace
{

constexpr int id_digits = 32;

} // namespace

std::string random_id()
{
    constexpr char const* digits = "0123456789abcdef";
    std::random_device source;
    std::string id;
    for (int i = 0; i < id_digits; ++i)
        id += digits[source() % 16];
    return id;
}

} // namespace masticshift::cli
