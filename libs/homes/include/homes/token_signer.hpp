#ifndef MASTICSHIFT_HOMES_TOKEN_SIGNER_HPP
#define MASTICSHIFT_HOMES_TOKEN_SIGNER_HPP

#include <homes/submission_id.hpp>

#include <core/outcome.hpp>

#include <string>

namespace masticshift::homes
{

/// Signs and verifies home tokens, so that callers can't use tokens that no
/// entry has issued. Without a key, tokens carry no MAC and are not protected.
class token_signer
{
public:
    explicit token_signer(std::string key);

    /// Returns the token with its MAC.
    home_token sign(home_token token) const;

    /// Fails with `id_forged` when the MAC differs from that of `sign`; without
    /// a key, when there is a MAC. Compares in constant time.
    outcome<void> verify(home_token const& token) const;

private:
    std::string mac_of(home_token const& token) const;

    std::string key_;
};

} // namespace masticshift::homes

#endif
