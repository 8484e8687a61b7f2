#include "handover_wire.hpp"
#include "loan_wire.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <limits>

using namespace masticshift;
using namespace masticshift::daemon;

namespace
{

homes::handover_record make_record(std::string nonce, std::string body)
{
    homes::handover_record record;
    record.id = {{"10.0.0.1:80", 7, 1, {}}, std::move(nonce)};
    record.digest.bytes.fill(0xfe);
    homes::kept_answer answer;
    answer.code = result_code::task_failed;
    answer.ran = ran_state::ran;
    answer.http_status = 502;
    answer.body = std::move(body);
    answer.content_type = "text/plain";
    record.answer = std::make_shared<homes::kept_answer const>(answer);
    return record;
}

homes::handover_part make_part()
{
    homes::handover_part part;
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    part.header = {{"10.0.0.1:80", largest}, 1, 2, 1};
    part.last = true;
    part.records.push_back(make_record("nonce", "body"));
    return part;
}

} // namespace

TEST_CASE("a handover part is the same after conversion to the wire and back")
{
    auto const sent = make_part();
    auto const received = from_wire(to_wire(sent));
    REQUIRE(received.has_value());
    CHECK(received->header == sent.header);
    CHECK(received->last);
    REQUIRE(received->records.size() == 1);
    auto const& record = received->records[0];
    CHECK(record.id == sent.records[0].id);
    CHECK(record.digest == sent.records[0].digest);
    CHECK(record.answer->code == result_code::task_failed);
    CHECK(record.answer->ran == ran_state::ran);
    CHECK(record.answer->http_status == 502);
    CHECK(record.answer->body == "body");
    CHECK(record.answer->content_type == "text/plain");
}

TEST_CASE(
    "an answer of any bytes is the same after conversion to the wire and back")
{
    CHECK(rc::check(
        [](std::string const& body)
        {
            auto part = make_part();
            part.records[0] = make_record("n", body);
            auto const received = from_wire(to_wire(part));
            RC_ASSERT(received.has_value());
            RC_ASSERT(received->records[0].answer->body == body);
        }));
}

TEST_CASE("a handover part with one malformed field is refused as a whole")
{
    using mutation = std::function<void(wire::handover&)>;
    std::vector<mutation> const mutations{
        [](auto& message)
        {
            message.records[0].id = "nonsense";
        },
        [](auto& message)
        {
            message.records[0].code = 9'999;
        },
        [](auto& message)
        {
            message.records[0].ran = "perhaps";
        },
        [](auto& message)
        {
            message.records[0].digest.pop_back();
        },
        [](auto& message)
        {
            message.records[0].http_status = -1;
        },
        [](auto& message)
        {
            message.records[0].http_status = 1'000;
        },
        [](auto& message)
        {
            message.record_count = -1;
        },
        [](auto& message)
        {
            message.oldest_generation = -1;
        }};
    for (std::size_t i = 0; i < mutations.size(); ++i)
    {
        INFO(i);
        auto message = to_wire(make_part());
        mutations[i](message);
        auto const received = from_wire(std::move(message));
        REQUIRE_FALSE(received.has_value());
        CHECK(received.error().code == result_code::peer_protocol);
    }
}

TEST_CASE("loans are the same after conversion to the wire and back")
{
    std::vector<placement::loan> const sent{{"a", 0, milliseconds(200)},
                                            {"b", 7, milliseconds(1)}};
    auto const received = from_wire(to_wire(sent));
    REQUIRE(received.size() == 2);
    CHECK(received[1].endpoint == "b");
    CHECK(received[1].slot == 7);
    CHECK(received[1].valid == milliseconds(1));
}

TEST_CASE("loans of slots with a negative number are dropped")
{
    wire::lent_slot negative;
    negative.__set_endpoint("a");
    negative.__set_slot(-1);
    negative.__set_valid_ms(100);
    wire::lent_slot good = negative;
    good.__set_slot(3);
    auto const received = from_wire({negative, good});
    REQUIRE(received.size() == 1);
    CHECK(received[0].slot == 3);
}
