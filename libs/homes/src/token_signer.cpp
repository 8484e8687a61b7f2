#include <homes/token_signer.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <stdexcept>
#include <string_view>

namespace masticshift::homes
{

namespace
{

using full_mac = std::array<unsigned char, EVP_MAX_MD_SIZE>;

std::string to_hex(full_mac const& mac)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit = 0xf;
    std::string text;
    for (std::size_t i = 0; i < mac_length / 2; ++i)
    {
        text += digits[mac[i] >> bits_per_digit];
        text += digits[mac[i] & low_digit];
    }
    return text;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

token_signer::token_signer(std::string key) : key_(std::move(key))
{
}

home_token token_signer::sign(home_token token) const
{
    token.mac = mac_of(token);
    return token;
}

outcome<void> token_signer::verify(home_token const& token) const
{
    if (equal_in_constant_time(mac_of(token), token.mac))
        return {};
    return failure{result_code::id_forged,
                   "no entry has issued this home token"};
}

std::string token_signer::mac_of(home_token const& token) const
{
    if (key_.empty())
        return {};
    auto const text = unsigned_text(token);
    full_mac mac{};
    unsigned length = 0;
    auto const* const done =
        HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
             reinterpret_cast<unsigned char const*>(text.data()), text.size(),
             mac.data(), &length);
    if (done == nullptr || length < mac_length / 2)
        throw std::runtime_error("HMAC-SHA256 is not available");
    return to_hex(mac);
}

} // namespace masticshift::homes
