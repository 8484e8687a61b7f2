#include "trouble_kind.hpp"

namespace masticshift::random_days
{

namespace
{

number_field seconds(double least, double most)
{
    return {"for_s", least, most};
}

number_field share(double least, double most)
{
    return {"share", least, most};
}

number_field strength(double least, double most)
{
    return {"x", least, most};
}

number_field whole(std::string_view name, double least, double most)
{
    return {name, least, most, true};
}

number_field sometimes(number_field field)
{
    constexpr int half = 50;
    field.percent = half;
    return field;
}

text_field sometimes(std::string_view name, std::string_view value)
{
    constexpr int third = 33;
    return {name, value, third};
}

text_field const core{"on", "core"};
text_field const some_core = sometimes("on", "core");
text_field const some_class = sometimes("class", "@c0");
text_field const some_service = sometimes("service", "@s0");
text_field const some_zone = sometimes("zone", "@z0");

/// Which servers and machines a trouble may pick, and what may come with it.
word_list const servers{"", "", "", "across", "all"};
word_list const machines{"",       "",      "",        "turn",     "leader",
                         "reader", "giver", "renewed", "follower", "seed"};
word_list const company{"", "", "", "", "meet", "race", "hard", "drain"};
word_list const cut_ways{"", "", "one_way", "reset", "refuse"};

std::vector<trouble_kind> client_kinds()
{
    return {
        {.name = "burst",
         .numbers = {strength(1.3, 2.2), seconds(2, 6)},
         .texts = {some_zone, some_class}},
        {.name = "shift", .numbers = {share(.3, .8), seconds(3, 7)}},
        {.name = "give_up",
         .numbers = {share(.1, .5), seconds(3, 7)},
         .how = {{"", "once", "prompt"}}},
        {.name = "poison",
         .numbers = {share(.02, .3), strength(2, 8), seconds(2, 6)},
         .texts = {{"class", "@c0"}},
         .how = {{"", "long", "deadly"}}},
    };
}

std::vector<trouble_kind> server_kinds()
{
    return {
        {.name = "srv_crash",
         .numbers = {share(.05, .35), seconds(.3, 4.5)},
         .texts = {some_service},
         .how = {{"", "dark", "gone", "domain", "rack", "joined"}, servers}},
        {.name = "srv_slow",
         .numbers = {share(.1, .3), strength(2, 8), seconds(3, 7)},
         .texts = {some_service, some_zone},
         .how = {servers}},
        {.name = "srv_grey",
         .numbers = {share(.05, .3), strength(.3, 1), seconds(3, 7)},
         .texts = {some_service},
         .how = {{"errors", "shed", "busy", "hang", "reset", "mute"}, servers}},
        {.name = "srv_grey",
         .numbers = {share(.05, .3), strength(2, 8), seconds(3, 7)},
         .how = {{"slow"}}},
        {.name = "srv_grey",
         .numbers = {share(.05, .3), strength(.3, 1), seconds(3, 7)},
         .texts = {{"to_zone", "@z0"}},
         .how = {{"errors", "hang", "reset", "mute"}, {"one_zone"}}},
        {.name = "srv_cut",
         .numbers = {share(.1, .4), seconds(.3, 5),
                     sometimes(strength(.1, .6))},
         .how = {{"", "fronts", "some", "some lossy"},
                 cut_ways,
                 {"", "", "reborn"}}},
        {.name = "scale_in",
         .part = day_part::plan,
         .numbers = {share(.05, .2)},
         .how = {{"", "spot", "reclaim", "reclaim dry"}}},
        {.name = "applied_late",
         .numbers = {strength(.03, .5), share(.3, 1), seconds(3, 12)},
         .how = {{"orders", "cloud", "grants", "all"}}},
    };
}

std::vector<trouble_kind> machine_kinds()
{
    return {
        {.name = "node_kill",
         .numbers = {whole("count", 1, 3), seconds(.3, 4)},
         .texts = {some_core, some_zone},
         .how = {{"", "power", "power wipe"}, machines, company}},
        {.name = "node_freeze",
         .numbers = {whole("count", 1, 3), seconds(.3, 4)},
         .texts = {some_core},
         .how = {machines, company}},
        {.name = "node_slow",
         .numbers = {share(.1, .4), strength(3, 15), seconds(2, 6)},
         .how = {machines}},
        {.name = "roll_term",
         .part = day_part::plan,
         .numbers = {share(.3, 1), whole("x", 1, 2), {"gap_s", .6, 2}},
         .how = {{"", "leader", "starter", "remove"}, {"", "busy"}}},
        {.name = "herd_kill",
         .numbers = {share(.4, 1), seconds(1, 6)},
         .texts = {some_core},
         .how = {{"", "power", "off", "taken"}, {"", "", "all"}}},
        {.name = "add_nodes", .part = day_part::plan},
        {.name = "replace_core",
         .numbers = {strength(.5, 4)},
         .how = {{"", "planned", "oldest", "leader"}}},
        {.name = "after_ack_kill",
         .numbers = {seconds(1, 4), sometimes(whole("count", 1, 2))},
         .how = {{"kill", "timed", "taken", "taken gone"}}},
        {.name = "hup",
         .numbers = {share(.2, 1), {"gap_s", .1, 1}},
         .how = {machines}},
        {.name = "clock_step",
         .numbers = {whole("x", 500, 6000), share(.2, 1), seconds(1, 6)},
         .how = {{"back", "ahead"}}},
    };
}

std::vector<trouble_kind> link_kinds()
{
    return {
        {.name = "zone_cut",
         .numbers = {seconds(.3, 6)},
         .texts = {some_zone},
         .how = {{"drop", "reset", "refuse"}}},
        {.name = "core_cut",
         .numbers = {whole("count", 1, 3), seconds(.3, 6)},
         .how = {{"", "split", "all", "near", "seeds", "both", "lure", "oldest",
                  "relieve", "behind"},
                 machines,
                 company,
                 cut_ways}},
        {.name = "node_cut",
         .numbers = {share(.1, .4), seconds(.3, 6)},
         .how = {{"", "all", "servers", "servers reborn"},
                 machines,
                 company,
                 cut_ways}},
        {.name = "reset_conns", .numbers = {share(.1, 1), strength(.2, 1)}},
    };
}

std::vector<trouble_kind> platform_kinds()
{
    word_list const failures{"silent", "busy", "reset"};
    return {
        {.name = "platform_down",
         .numbers = {seconds(1, 6)},
         .how = {failures, {"", "", "lapse"}}},
        {.name = "platform_down",
         .numbers = {share(.2, .6), seconds(1, 6)},
         .how = {{"log", "tables"}, failures}},
        {.name = "platform_down",
         .numbers = {share(.2, .6), seconds(1, 6)},
         .how = {{"nodes"},
                 {"busy", "many", "reset", "silent"},
                 {"", "leader"},
                 {"", "revoke"},
                 company}},
        {.name = "platform_slow",
         .numbers = {strength(20, 120), seconds(2, 6)}},
        {.name = "platform_lost",
         .numbers = {strength(.2, .8), seconds(3, 8)},
         .how = {{"", "late"}}},
        {.name = "platform_compact",
         .numbers = {strength(1, 6), seconds(3, 12)},
         .how = {{"", "drain", "keyed", "rebalance", "rewind"}}},
        {.name = "config_change",
         .part = day_part::plan,
         .how = {{"route", "weights", "timeout", "idle", "tenant", "quota",
                  "quota down", "topup"}}},
        {.name = "big_config",
         .part = day_part::plan,
         .numbers = {whole("count", 50, 350)}},
        {.name = "cloud_down", .numbers = {seconds(1, 6)}, .how = {failures}},
        {.name = "cloud_slow", .numbers = {strength(20, 120), seconds(2, 6)}},
    };
}

std::vector<trouble_kind> make_kinds()
{
    std::vector<trouble_kind> kinds;
    for (auto const& group : {client_kinds(), server_kinds(), machine_kinds(),
                              link_kinds(), platform_kinds()})
        kinds.insert(kinds.end(), group.begin(), group.end());
    return kinds;
}

} // namespace

std::vector<trouble_kind> const& trouble_kinds()
{
    static auto const kinds = make_kinds();
    return kinds;
}

} // namespace masticshift::random_days
