#include "measurements.hpp"
#include "resource_use.hpp"
#include "sample_text.hpp"
#include "slope_report.hpp"

#include <homes/submission_table.hpp>

#include <memory>

namespace capacity
{

namespace
{

using namespace masticshift;
using homes::submission_table;

constexpr unsigned answer_bytes = 400;
constexpr unsigned nonce_length = 22;

submission_table make_table(std::string key)
{
    homes::submission_table_options options;
    options.self = {"10.2.0.1:8201", 1};
    options.key = std::move(key);
    return {std::move(options), start_time()};
}

homes::answer_ptr make_answer(unsigned bytes)
{
    homes::kept_answer answer;
    answer.body.assign(bytes, 'x');
    return std::make_shared<homes::kept_answer const>(std::move(answer));
}

void submit(submission_table& table, unsigned number, unsigned bytes)
{
    auto nonce = std::to_string(number);
    nonce.resize(nonce_length, '_');
    homes::submission_id const id{table.current_token(), std::move(nonce)};
    homes::body_digest const digest;
    table.admit(id, digest, start_time());
    table.finish(id, make_answer(bytes), start_time());
}

double bytes_of_ids(unsigned ids, unsigned bytes)
{
    auto const before = heap_bytes();
    auto table = make_table("");
    for (unsigned i = 0; i < ids; ++i)
        submit(table, i, bytes);
    return heap_bytes() - before;
}

double microseconds_of_ids(unsigned ids, std::string const& key)
{
    auto table = make_table(key);
    return processor_microseconds(
        [&]
        {
            for (unsigned i = 0; i < ids; ++i)
                submit(table, i, answer_bytes);
        });
}

} // namespace

void measure_homes()
{
    measurement memory{"id with an answer of 400 bytes", "bytes", "ids", {}};
    measurement empty_answer{"id with an empty answer", "bytes", "ids", {}};
    measurement plain{"submission: admit and finish", "us", "ids", {}};
    measurement signed_ids{"the same with a MAC", "us", "ids", {}};
    for (unsigned const ids : {10'000U, 30'000U, 90'000U})
    {
        auto const size = static_cast<double>(ids);
        memory.samples.push_back({size, bytes_of_ids(ids, answer_bytes)});
        empty_answer.samples.push_back({size, bytes_of_ids(ids, 0)});
        plain.samples.push_back({size, microseconds_of_ids(ids, "")});
        signed_ids.samples.push_back({size, microseconds_of_ids(ids, "key")});
    }
    print(memory);
    print(empty_answer);
    print(plain);
    print(signed_ids);
}

} // namespace capacity
