#ifndef MASTICSHIFT_HOMES_TOKEN_SIGNER_HPP
#define MASTICSHIFT_HOMES_TOKEN_SIGNER_HPP

#include <homes/submission_id.hpp>

#include <core/outcome.hpp>

#include <string>

namespace masticshift::homes
{

/// Signs home tokens, so that callers cannot form ids for tokens that no
/// entry has issued. Without a key tokens carry no MAC.
class token_signer
{
public:
    explicit token_signer(std::string key);

    /// The token with its MAC.
    home_token sign(home_token token) const;

    /// `id_forged` when the MAC is not the one that `sign` gives; without a
    /// key, when there is a MAC. Compares in constant time.
    outcome<void> verify(home_token const& token) const;

private:
    std::string mac_of(home_token const& token) const;

    std::string key_;
};

} // namespace masticshift::homes

#endif
