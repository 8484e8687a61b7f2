#include "handover_wire.hpp"

#include "answer.hpp"

#include <algorithm>

namespace masticshift::daemon
{

namespace
{

wire::handover_record to_wire(homes::handover_record const& record)
{
    wire::handover_record message;
    message.__set_id(homes::to_string(record.id));
    auto const& digest = record.digest.bytes;
    message.__set_digest(std::string(digest.begin(), digest.end()));
    message.__set_code(static_cast<std::int32_t>(record.answer->code));
    message.__set_ran(std::string(name_of(record.answer->ran)));
    message.__set_http_status(
        static_cast<std::int32_t>(record.answer->http_status));
    message.__set_answer(record.answer->body);
    message.__set_content_type(record.answer->content_type);
    return message;
}

outcome<homes::handover_record> from_wire(wire::handover_record message)
{
    homes::handover_record record;
    auto id = homes::parse_submission_id(message.id);
    auto const code = result_code_of(message.code);
    auto const ran = ran_state_of(message.ran);
    bool const digest_fits = message.digest.size() == homes::digest_size;
    bool const has_status = is_http_status(message.http_status);
    if (!id || !code || !ran || !digest_fits || !has_status)
        return failure{result_code::peer_protocol,
                       "malformed record in a handover"};
    record.id = std::move(*id);
    std::ranges::copy(message.digest, record.digest.bytes.begin());
    homes::kept_answer answer;
    answer.code = *code;
    answer.ran = *ran;
    answer.http_status = static_cast<unsigned>(message.http_status);
    answer.body = std::move(message.answer);
    answer.content_type = std::move(message.content_type);
    record.answer =
        std::make_shared<homes::kept_answer const>(std::move(answer));
    return record;
}

} // namespace

wire::handover to_wire(homes::handover_part const& part)
{
    auto const& header = part.header;
    wire::handover message;
    message.__set_address(header.process.address);
    message.__set_incarnation(
        static_cast<std::int64_t>(header.process.incarnation));
    message.__set_oldest_generation(
        static_cast<std::int32_t>(header.oldest_generation));
    message.__set_newest_generation(
        static_cast<std::int32_t>(header.newest_generation));
    message.__set_record_count(static_cast<std::int32_t>(header.record_count));
    message.__set_last(part.last);
    for (auto const& record : part.records)
        message.records.push_back(to_wire(record));
    message.__isset.records = true;
    return message;
}

outcome<homes::handover_part> from_wire(wire::handover message)
{
    if (message.oldest_generation < 0 || message.newest_generation < 0 ||
        message.record_count < 0)
        return failure{result_code::peer_protocol,
                       "negative generation or record count in a handover"};
    homes::handover_part part;
    part.header.process.address = message.address;
    part.header.process.incarnation =
        static_cast<std::uint64_t>(message.incarnation);
    part.header.oldest_generation =
        static_cast<std::uint32_t>(message.oldest_generation);
    part.header.newest_generation =
        static_cast<std::uint32_t>(message.newest_generation);
    part.header.record_count = static_cast<std::size_t>(message.record_count);
    part.last = message.last;
    for (auto& record : message.records)
    {
        auto parsed = from_wire(std::move(record));
        if (!parsed)
            return parsed.error();
        part.records.push_back(std::move(*parsed));
    }
    return part;
}

} // namespace masticshift::daemon
