#include <homes/token_signer.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::homes;

namespace
{

home_token const token{"10.0.0.7:9100", 255, 12, {}};

bool is_forged(token_signer const& signer, home_token const& presented)
{
    auto const verified = signer.verify(presented);
    return !verified && verified.error().code == result_code::id_forged;
}

} // namespace

TEST_CASE("the MAC is the start of HMAC-SHA256 over the unsigned token")
{
    // printf %s '10.0.0.7:9100~00000000000000ff~12' |
    //     openssl dgst -sha256 -hmac secret
    auto const text = to_string(token_signer("secret").sign(token));
    CHECK(text ==
          "10.0.0.7:9100~00000000000000ff~12~4f470a1209e58a3e0baa78d9405f5ad4");
    CHECK(parse_home_token(text).has_value());
}

TEST_CASE("only the token as signed is accepted")
{
    token_signer const signer("secret");
    auto const signed_token = signer.sign(token);
    CHECK(signer.verify(signed_token).has_value());
    CHECK(is_forged(signer, token));
    CHECK(is_forged(token_signer("other"), signed_token));
    auto changed = signed_token;
    ++changed.generation;
    CHECK(is_forged(signer, changed));
    changed = signed_token;
    changed.mac.pop_back();
    CHECK(is_forged(signer, changed));
}

TEST_CASE("without a key tokens have no MAC, and a token with one is refused")
{
    token_signer const keyless("");
    CHECK(keyless.sign(token) == token);
    CHECK(keyless.verify(token).has_value());
    CHECK(is_forged(keyless, token_signer("secret").sign(token)));
}
