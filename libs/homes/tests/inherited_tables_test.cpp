#include "table_fixture.hpp"

#include <homes/inherited_tables.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace masticshift;
using namespace masticshift::homes;
using namespace masticshift::homes::testing;

namespace
{

process_name const successor{"10.0.0.8:9100", 1};
constexpr milliseconds retention{1'000};
constexpr unsigned records = 5;

inherited_tables_options small_options()
{
    return {retention, 2, 10, 1'000};
}

submission_id id_of(unsigned index)
{
    return {{home_process.address, home_process.incarnation, 3, {}},
            "n" + std::to_string(index)};
}

handover_table stopped_table()
{
    handover_table table{{home_process, 2, 4, records}, {}};
    for (unsigned i = 0; i < records; ++i)
        table.records.push_back(
            {id_of(i), digest_for(i), ok_answer(std::to_string(i))});
    return table;
}

std::vector<handover_part> stopped_parts()
{
    return split_into_parts(stopped_table(), {2, 1'000});
}

bool fails_with(outcome<void> const& accepted, result_code code)
{
    return !accepted && accepted.error().code == code;
}

} // namespace

TEST_CASE("a table is split by records and by bytes")
{
    CHECK(split_into_parts(stopped_table(), {2, 1'000}).size() == 3);
    CHECK(split_into_parts(stopped_table(), {100, 3}).size() == 2);
    CHECK(split_into_parts(stopped_table(), {100, 0}).size() == records);
    auto const empty = split_into_parts({{home_process, 1, 1, 0}, {}}, {});
    REQUIRE(empty.size() == 1);
    CHECK(empty[0].last);
}

TEST_CASE("a table answers nothing until all its records are received")
{
    inherited_tables tables(successor, small_options());
    auto const parts = stopped_parts();
    CHECK(fails_with(tables.accept(parts[2], start_time),
                     result_code::peer_protocol));
    CHECK(tables.accept(parts[0], start_time).has_value());
    CHECK(tables.accept(parts[0], start_time).has_value());
    CHECK_FALSE(tables.holds(home_process));
    CHECK(tables.find(id_of(9), digest_for(0)).ran == ran_state::unknown);
    CHECK(tables.export_tables().empty());
    CHECK(tables.accept(parts[1], start_time).has_value());
    CHECK(tables.holds(home_process));
    CHECK(tables.processes().size() == 1);
}

TEST_CASE("a complete table answers for its ids and refuses all others")
{
    inherited_tables tables(successor, small_options());
    for (auto const& part : stopped_parts())
        CHECK(tables.accept(part, start_time).has_value());
    auto const kept = tables.find(id_of(1), digest_for(1));
    REQUIRE(kept.kind == decision_kind::answered);
    CHECK(kept.answer->body == "1");
    auto const reused = tables.find(id_of(1), digest_for(2));
    CHECK(reused.code == result_code::id_reused);
    CHECK(reused.ran == ran_state::ran);
    auto const absent = tables.find(id_of(9), digest_for(0));
    CHECK(absent.code == result_code::draining);
    CHECK(absent.ran == ran_state::not_run);
    CHECK(tables.find(id_of(9)).code == result_code::unknown_id);
    auto old = id_of(9);
    old.home.generation = 1;
    CHECK(tables.find(old).code == result_code::id_expired);
    CHECK(tables.find(old, digest_for(0)).ran == ran_state::unknown);
}

TEST_CASE("inconsistent parts are rejected and create no table")
{
    inherited_tables tables(successor, small_options());
    auto without_count = stopped_parts()[0];
    without_count.header.record_count = 0;
    without_count.last = true;
    CHECK(fails_with(tables.accept(without_count, start_time),
                     result_code::peer_protocol));
    auto foreign = stopped_parts()[0];
    foreign.records[0].id.home.incarnation += 1;
    CHECK(fails_with(tables.accept(foreign, start_time),
                     result_code::peer_protocol));
    CHECK(tables.statistics().tables == 0);
    CHECK(fails_with(inherited_tables(home_process, small_options())
                         .accept(stopped_parts()[0], start_time),
                     result_code::peer_protocol));
}

TEST_CASE("limits and retention bound the inherited tables")
{
    inherited_tables tables(successor, small_options());
    auto part = handover_part{{home_process, 1, 1, 11}, true, {}};
    CHECK(fails_with(tables.accept(part, start_time), result_code::overloaded));
    part.header.record_count = 0;
    for (part.header.process.incarnation = 1;
         part.header.process.incarnation <= 2;
         ++part.header.process.incarnation)
        CHECK(tables.accept(part, start_time).has_value());
    CHECK(fails_with(tables.accept(part, start_time), result_code::overloaded));
    CHECK(tables.accept(part, start_time + retention).has_value());
    CHECK(tables.statistics().tables == 1);

    handover_part large{{home_process, 1, 1, 1}, true, {}};
    large.records.push_back(
        {id_of(0), digest_for(0), ok_answer(std::string(1'001, 'x'))});
    CHECK(fails_with(tables.accept(large, start_time + retention),
                     result_code::overloaded));
    CHECK_FALSE(tables.holds(home_process));
}
