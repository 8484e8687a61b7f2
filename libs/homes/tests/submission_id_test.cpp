#include <homes/submission_id.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace masticshift;
using namespace masticshift::homes;

namespace
{

constexpr char const* mac = "00112233445566778899aabbccddeeff";
std::string const home = "10.0.0.7:9100~00000000000000ff~12";

rc::Gen<submission_id> any_id()
{
    auto const nonce = rc::gen::nonEmpty(
        rc::gen::resize(static_cast<int>(max_nonce_length),
                        rc::gen::container<std::string>(rc::gen::elementOf(
                            std::string("ABCXYZabcxyz0189_-")))));
    return rc::gen::construct<submission_id>(
        rc::gen::construct<home_token>(
            rc::gen::element<std::string>("10.0.0.7:9100", "127.0.0.1:1",
                                          "255.255.255.255:65535",
                                          "fd00::1:9100"),
            rc::gen::arbitrary<std::uint64_t>(),
            rc::gen::arbitrary<std::uint32_t>(),
            rc::gen::element<std::string>("", mac)),
        nonce);
}

} // namespace

TEST_CASE("a formatted id parses to the same id")
{
    CHECK(rc::check(
        []
        {
            auto const id = *any_id();
            auto const parsed = parse_submission_id(to_string(id));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(*parsed == id);
        }));
}

TEST_CASE("a text that parses is the only spelling of its id")
{
    CHECK(rc::check(
        []
        {
            auto text = to_string(*any_id());
            auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::elementOf(std::string("0aA~.:-+ %"));
            if (*rc::gen::arbitrary<bool>())
                text.insert(at, 1, *rc::gen::elementOf(std::string("0~.A")));
            auto const parsed = parse_submission_id(text);
            if (parsed)
                RC_ASSERT(to_string(*parsed) == text);
        }));
}

TEST_CASE("other spellings and malformed ids are refused")
{
    std::string long_nonce = home + ".";
    long_nonce.append(max_nonce_length + 1, 'n');
    for (std::string const& text : {
             std::string(),
             std::string("n"),
             home,
             home + ".",
             long_nonce,
             home + ".a b",
             home + ".a%20b",
             home + "~.n",
             home + "~00.n",
             home + "~00112233445566778899AABBCCDDEEFF.n",
             home + "~00112233445566778899aabbccddeeff~.n",
             std::string("10.0.0.7:9100~00000000000000FF~12.n"),
             std::string("10.0.0.7:9100~ff~12.n"),
             std::string("10.0.0.7:9100~000000000000000ff~12.n"),
             std::string("10.0.0.7:9100~00000000000000ff~012.n"),
             std::string("10.0.0.7:9100~00000000000000ff~+12.n"),
             std::string("10.0.0.7:9100~00000000000000ff~4294967296.n"),
             std::string("10.0.0.7:9100~00000000000000ff~.n"),
             std::string("10.0.0.7:09100~00000000000000ff~12.n"),
             std::string("10.0.0.7:0~00000000000000ff~12.n"),
             std::string("10.0.0.07:9100~00000000000000ff~12.n"),
             std::string("010.0.0.7:9100~00000000000000ff~12.n"),
             std::string("example.org:9100~00000000000000ff~12.n"),
             std::string("FD00::1:9100~00000000000000ff~12.n"),
             std::string("fd00:0::1:9100~00000000000000ff~12.n"),
         })
    {
        CAPTURE(text);
        auto const parsed = parse_submission_id(text);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().code == result_code::id_malformed);
        CHECK_FALSE(parsed.error().detail.empty());
    }
}
