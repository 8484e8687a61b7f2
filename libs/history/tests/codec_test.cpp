#include <history/codec.hpp>
#include <history/digest.hpp>
#include <history/history.hpp>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace masticshift;
using namespace masticshift::history;

namespace
{

std::string line_of(event const& content)
{
    auto fields = to_fields(content);
    fields["us"] = 17;
    fields["source"] = "s";
    fields["level"] = "info";
    fields["event"] = name_of(kind_of(content));
    return boost::json::serialize(fields);
}

/// A file that is removed at the end of the test.
struct temporary_file
{
    explicit temporary_file(std::string const& text)
        : path(std::filesystem::temp_directory_path() /
               ("history_codec_test_" + std::to_string(::getpid())))
    {
        std::ofstream(path) << text;
    }

    ~temporary_file()
    {
        std::filesystem::remove(path);
    }

    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;

    std::filesystem::path path;
};

} // namespace

TEST_CASE("every kind of event is unchanged after writing and parsing")
{
    std::vector<event> const samples{
        call_sent{1, "i", "e", "s", call_kind::request, true, {"a", "b"}},
        call_answered{1, "i", result_code::ok, ran_state::ran, {{3, "a", "b"}}},
        call_broken{2, "i"},
        entry_started{-5, "e"},
        job_admitted{"i", 9},
        job_refused{"i", result_code::overloaded, ran_state::not_run},
        task_started{{"i", 1, 2}, "e"},
        task_ended{{"i", 1, 2}, result_code::endpoint_lost},
        job_answered{"i", result_code::cancelled, ran_state::unknown},
        configuration_in_force{4},
        endpoint_leaving_seen{"e"},
        admission_closed{},
        stopped{3},
        run_started{{"i", 1, 2}, "s"},
        run_ended{{"i", 1, 2}},
        run_refused{{"i", 1, 2}},
        committed{4, "c"},
        vm_state{"e", vm_condition::leaving},
        applied{4, "c", result_code::revision_conflict},
        entry_cut{"e"},
        entry_healed{"e"}};
    REQUIRE(samples.size() == std::variant_size_v<event>);
    for (std::size_t i = 0; i < samples.size(); ++i)
    {
        CHECK(samples[i].index() == i);
        auto const line = line_of(samples[i]);
        auto const parsed = parse_record_line(line);
        REQUIRE(parsed.has_value());
        REQUIRE(parsed->has_value());
        CHECK((*parsed)->us == 17);
        CHECK((*parsed)->source == "s");
        CHECK(line_of((*parsed)->content) == line);
    }
}

TEST_CASE("lines with a missing or bad field are refused")
{
    CHECK(parse_record_line("[]").has_error());
    CHECK(parse_record_line(R"({"us":1,"source":"s"})").has_error());
    CHECK(parse_record_line(R"({"event":"stopped","cut":0})").has_error());
    auto const bad = {R"("event":"stopped")",
                      R"("event":"stopped","cut":-1)",
                      R"("event":"committed","revision":"1","change_id":"c")",
                      R"("event":"run_ended","task":"i/1")",
                      R"("event":"run_ended","task":"/1/1")",
                      R"("event":"run_ended","task":"i/1/x")",
                      R"("event":"task_ended","task":"i/1/1","result":1)",
                      R"("event":"vm_state","address":"e","state":"gone")"};
    for (std::string const fields : bad)
        CHECK(parse_record_line(R"({"us":1,"source":"s",)" + fields + "}")
                  .has_error());
    auto const other = parse_record_line(R"({"event":"task_placed"})");
    REQUIRE(other.has_value());
    CHECK_FALSE(other->has_value());
}

TEST_CASE("an incomplete last line is dropped, any other incomplete line is an "
          "error")
{
    auto const complete = line_of(stopped{0}) + "\n";
    auto const incomplete = complete.substr(0, complete.size() / 2);
    temporary_file const killed(complete + incomplete);
    auto const read = read_history({killed.path.string()});
    REQUIRE(read.has_value());
    CHECK(read->records.size() == 1);
    temporary_file const damaged(complete + incomplete + "\n" + complete);
    auto const refused = read_history({damaged.path.string()});
    REQUIRE(refused.has_error());
    CHECK(refused.error().detail.find(":2: ") != std::string::npos);
    CHECK(read_history({"/nonexistent/file"}).has_error());
}

TEST_CASE("the echo of an answer has the digest of the input")
{
    auto const input = boost::json::parse(R"({"sku": "chalk", "n": [1, 2.5]})");
    auto const output =
        boost::json::value{{"echo", input}, {"endpoint", "ikeja-1"}};
    auto const answer = answer_of(3, output);
    CHECK(answer.task == 3);
    CHECK(answer.echo == digest_of(input));
    CHECK(answer.output == digest_of(output));
    CHECK(answer.echo.size() == 16);
    CHECK(answer.echo != answer.output);
    CHECK(answer_of(0, input).echo == digest_of(input));
}
