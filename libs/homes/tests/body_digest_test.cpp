#include <homes/body_digest.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace masticshift;
using namespace masticshift::homes;

TEST_CASE("each part of a submission changes its digest")
{
    submission_parts const base{submission_kind::job, "orderdesk", "{}", false,
                                milliseconds(2'000)};
    std::array<submission_parts, 7> variants;
    variants.fill(base);
    variants[1].kind = submission_kind::request;
    variants[2].service = "bookings";
    variants[3].body = "{ }";
    variants[4].idempotent = true;
    variants[5].timeout = milliseconds(2'001);
    // The boundary between service and body moves by one byte.
    variants[6].service = "orderdesk{";
    variants[6].body = "}";
    for (std::size_t i = 0; i < variants.size(); ++i)
    {
        for (std::size_t j = 0; j < variants.size(); ++j)
        {
            CAPTURE(i);
            CAPTURE(j);
            bool const same = digest_of(variants[i]) == digest_of(variants[j]);
            CHECK(same == (i == j));
        }
    }
}

TEST_CASE("a digest is the same in every build, since entries compare them")
{
    auto const digest =
        digest_of({submission_kind::job, "a", "b", false, milliseconds(1)});
    // XXH3-128 in canonical form over five little-endian 64-bit numbers (kind,
    // idempotent, timeout, both lengths) and the bytes "ab".
    body_digest const expected{{0x6d, 0x8f, 0xe4, 0x26, 0x76, 0x34, 0x8a, 0xbc,
                                0x8f, 0xb4, 0x8e, 0xb0, 0x4e, 0x8a, 0xb2,
                                0xbc}};
    CHECK(digest == expected);
}
