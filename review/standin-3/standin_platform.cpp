#include "standin_platform.hpp"

#include <algorithm>
#include <cstdlib>

namespace review
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned conflict = 409;
constexpr unsigned failed_condition = 412;
constexpr unsigned misdirected = 421;
constexpr unsigned not_found = 404;

/// `hold_max_ms` of the small deployments.
constexpr std::int64_t longest_hold_ms = 1'000;
constexpr std::int64_t longest_wait_ms = 2'000;
constexpr milliseconds heartbeat{1'500};
constexpr milliseconds run_check{5};

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%' || i + 2 >= text.size())
        {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(
            std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
    }
    return decoded;
}

std::map<std::string, std::string> query_of(std::string_view target)
{
    std::map<std::string, std::string> query;
    auto const mark = target.find('?');
    auto rest =
        mark == target.npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        auto const pair = rest.substr(0, end);
        auto const equals = pair.find('=');
        if (equals != pair.npos)
            query[std::string(pair.substr(0, equals))] =
                percent_decode(pair.substr(equals + 1));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return query;
}

std::string path_of(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string encode_base64(std::string const& bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(
        beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode_base64(std::string const& text)
{
    std::string bytes(beast::detail::base64::decoded_size(text.size()), '\0');
    bytes.resize(
        beast::detail::base64::decode(bytes.data(), text.data(), text.size())
            .first);
    return bytes;
}

std::string text_of(json::object const& body, char const* name)
{
    auto const* const value = body.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

std::int64_t number_of(json::object const& body, char const* name)
{
    auto const* const value = body.if_contains(name);
    return value != nullptr && value->is_number()
               ? value->to_number<std::int64_t>()
               : 0;
}

json::object parse(std::string const& body)
{
    beast::error_code error;
    auto value = json::parse(body, error);
    return !error && value.is_object() ? value.get_object() : json::object{};
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

record::record(std::string const& path)
    : file_(path), begun_(steady_clock::now())
{
}

void record::add(std::string const& line)
{
    file_ << now().count() << " " << line << std::endl;
}

milliseconds record::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    begun_);
}

store::store(asio::io_context& context, std::string ip)
    : changed_(context, steady_clock::time_point::max()),
      ip_(std::move(ip)),
      listener_(context,
                [this](request const& message)
                {
                    return handle(message);
                })
{
    listener_.listen(ip_, 0);
}

address store::where() const
{
    return {ip_, listener_.port()};
}

void store::put(std::string const& table, std::string const& key,
                std::string const& value)
{
    tables_[table][key] = {value, ++version_, false};
    changed_.cancel();
}

void store::remove(std::string const& table, std::string const& key)
{
    auto& known = tables_[table][key];
    known = {{}, ++version_, true};
    changed_.cancel();
}

json::object store::versions() const
{
    auto const age =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun_);
    return {{"row_version", version_}, {"now_ms", age.count()}};
}

json::object store::row_json(std::string const& table, std::string const& key,
                             row const& of) const
{
    json::object made{{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"row_version", of.version}};
    if (of.removed)
        made["tombstone"] = true;
    else
        made["value"] = encode_base64(of.value);
    return made;
}

asio::awaitable<std::optional<response>> store::handle(request const& message)
{
    std::string const target(message.target());
    auto const path = path_of(target);
    if (path == "/rows-tx")
        co_return transact(message.body());
    if (path == "/rows-get")
        co_return read(query_of(target));
    if (path == "/rows-feed")
        co_return co_await follow(query_of(target));
    co_return make_response(not_found, json::object{});
}

response store::transact(std::string const& body)
{
    auto const parsed = parse(body);
    auto const list = [&](char const* name)
    {
        auto const* const value = parsed.if_contains(name);
        return value != nullptr && value->is_array() ? value->get_array()
                                                     : json::array{};
    };
    json::array unmet;
    for (auto const& each : list("expected_rev"))
    {
        auto const& fields = each.get_object();
        auto const table = text_of(fields, "table");
        auto const key = text_of(fields, "key");
        auto const& known = tables_[table][key];
        auto const present = known.removed ? 0 : known.version;
        if (present != number_of(fields, "row_version"))
            unmet.push_back(row_json(table, key, known));
    }
    if (!unmet.empty())
    {
        auto refused = versions();
        refused["rows"] = std::move(unmet);
        return make_response(failed_condition, refused);
    }
    ++version_;
    for (auto const& each : list("put"))
    {
        auto const& fields = each.get_object();
        tables_[text_of(fields, "table")][text_of(fields, "key")] = {
            decode_base64(text_of(fields, "value")), version_, false};
    }
    for (auto const& each : list("remove"))
    {
        auto const& fields = each.get_object();
        tables_[text_of(fields, "table")][text_of(fields, "key")] = {
            {}, version_, true};
    }
    changed_.cancel();
    return make_response(ok, versions());
}

response store::read(std::map<std::string, std::string> const& query) const
{
    auto answer = versions();
    json::array rows;
    auto const from = query.contains("from") ? query.at("from") : "";
    auto const found = tables_.find(query.at("table"));
    if (found != tables_.end())
    {
        for (auto const& [key, each] : found->second)
        {
            if (!each.removed && key >= from)
                rows.push_back(row_json(found->first, key, each));
        }
    }
    answer["rows"] = std::move(rows);
    answer["has_more"] = false;
    return make_response(ok, answer);
}

asio::awaitable<std::optional<response>>
store::follow(std::map<std::string, std::string> query)
{
    auto const table = query["table"];
    auto const after = std::atoll(query["after"].c_str());
    auto const until = steady_clock::now() +
                       milliseconds(std::atoll(query["wait_ms"].c_str()));
    for (;;)
    {
        std::vector<std::pair<std::int64_t, json::object>> changes;
        for (auto const& [key, each] : tables_[table])
        {
            if (each.version > after)
                changes.emplace_back(each.version, row_json(table, key, each));
        }
        if (!changes.empty() || steady_clock::now() >= until)
        {
            std::ranges::sort(changes, {},
                              [](auto const& each)
                              {
                                  return each.first;
                              });
            json::array rows;
            for (auto& each : changes)
                rows.push_back(std::move(each.second));
            auto answer = versions();
            answer["rows"] = std::move(rows);
            co_return make_response(ok, answer);
        }
        // `changed_` wakes all that wait, and a short pause ends the wait.
        asio::steady_timer pause(co_await asio::this_coro::executor,
                                 std::min<steady_clock::duration>(
                                     until - steady_clock::now(), run_check));
        co_await pause.async_wait(as_values);
    }
}

worker::worker(asio::io_context& context, record& log, observations& seen,
               store& registry, std::string ip, std::string id,
               std::string zone, std::string service)
    : context_(context),
      log_(log),
      seen_(seen),
      registry_(registry),
      ip_(std::move(ip)),
      id_(std::move(id)),
      zone_(std::move(zone)),
      service_(std::move(service)),
      born_ms_(unix_ms()),
      changed_(context, steady_clock::time_point::max()),
      listener_(context,
                [this](request const& message)
                {
                    return handle(message);
                })
{
}

void worker::start()
{
    listener_.listen(ip_, 0);
    asio::co_spawn(context_, report(), asio::detached);
    asio::co_spawn(context_, watch_runs(), asio::detached);
}

void worker::drain()
{
    draining_ = true;
    write_row();
}

void worker::write_row()
{
    json::object row{
        {"service", service_},
        {"address", to_string(where())},
        {"zone", zone_},
        {"version", "v1"},
        {"slots", 8},
        {"state", draining_ ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
        {"labels", {"a", "r-" + zone_}},
        {"clock_ms", clock_ms()},
        {"born", born_ms_},
        {"seq", ++sequence_}};
    if (draining_)
        row["remaining_ms"] = 0;
    registry_.put("servers", id_, json::serialize(row));
}

asio::awaitable<void> worker::report()
{
    for (;;)
    {
        write_row();
        co_await wait(heartbeat);
    }
}

asio::awaitable<void> worker::watch_runs()
{
    for (;;)
    {
        end_due();
        co_await wait(run_check);
    }
}

std::int64_t worker::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    clock_begun_)
        .count();
}

json::object worker::basics() const
{
    return {{"clock_ms", clock_ms()}, {"born", born_ms_}};
}

response worker::refuse(std::string const& reason) const
{
    auto body = basics();
    body["reason"] = reason;
    return make_response(conflict, body);
}

bool worker::is_fenced(json::object const& body)
{
    auto const token = number_of(body, "fencing_token");
    if (token < token_)
        return true;
    token_ = token;
    return false;
}

void worker::extend(json::object const& body)
{
    if (!body.contains("until_ms"))
        return;
    auto const until =
        std::min(number_of(body, "until_ms"), clock_ms() + longest_hold_ms);
    lease_until_ = std::max(lease_until_, until);
}

void worker::end_run(run_key const& key, std::string const& how)
{
    running_.erase(key);
    auto& highest = highest_[key.first];
    highest = std::max(highest, key.second);
    ended_.push_back({next_end_++, key.first, key.second, how});
    --seen_.running[key.first];
    log_.add("ended " + id_ + " " + key.first + " run " +
             std::to_string(key.second) + " " + how);
}

void worker::end_due()
{
    auto const now = steady_clock::now();
    std::vector<std::pair<run_key, std::string>> due;
    for (auto const& [key, run] : running_)
    {
        if (now >= run.begun + run.length)
            due.emplace_back(key, "done");
        else if (clock_ms() > lease_until_)
            due.emplace_back(key, "lapsed");
    }
    for (auto const& [key, how] : due)
        end_run(key, how);
}

asio::awaitable<std::optional<response>> worker::handle(request const& message)
{
    end_due();
    auto const path = path_of(std::string(message.target()));
    if (path == "/health")
        co_return make_response(ok, json::object{});
    auto const expected = message["X-Expect-Instance"];
    if (!expected.empty() && expected != id_)
        co_return make_response(misdirected, basics());
    auto body = parse(message.body());
    if (path == "/run-start")
        co_return start_run(body);
    if (path == "/run-stop")
        co_return stop_run(body);
    if (path == "/hold")
        co_return co_await hold(std::move(body));
    co_return make_response(not_found, basics());
}

response worker::start_run(json::object const& body)
{
    run_key const key{text_of(body, "task"), number_of(body, "run")};
    if (is_fenced(body))
        return refuse("fence");
    if (number_of(body, "until_ms") < clock_ms())
        return refuse("late");
    extend(body);
    if (running_.contains(key))
        return make_response(ok, basics());
    auto const known = highest_.find(key.first);
    if (known != highest_.end() && key.second <= known->second)
        return refuse("old");
    auto const spec = text_of(body, "spec");
    running_[key] = {steady_clock::now(),
                     milliseconds(std::atoll(spec.c_str()))};
    seen_.starts.push_back({id_, key.first, key.second, spec, log_.now()});
    if (++seen_.running[key.first] > 1)
        seen_.concurrent.push_back(key.first);
    log_.add("started " + id_ + " " + key.first + " run " +
             std::to_string(key.second));
    return make_response(ok, basics());
}

response worker::stop_run(json::object const& body)
{
    run_key const key{text_of(body, "task"), number_of(body, "run")};
    if (is_fenced(body))
        return refuse("fence");
    if (running_.contains(key))
        end_run(key, "stopped");
    auto& highest = highest_[key.first];
    highest = std::max(highest, key.second);
    return make_response(ok, basics());
}

asio::awaitable<std::optional<response>> worker::hold(json::object body)
{
    if (is_fenced(body))
        co_return refuse("fence");
    extend(body);
    std::erase_if(ended_,
                  [&](ended const& each)
                  {
                      return each.number <= number_of(body, "last_seen");
                  });
    auto const until =
        steady_clock::now() +
        milliseconds(std::min(number_of(body, "wait_ms"), longest_wait_ms));
    auto const first = next_end_;
    while (ended_.empty() && next_end_ == first && steady_clock::now() < until)
        co_await wait(run_check);
    auto answer = basics();
    json::array running;
    auto const now = steady_clock::now();
    for (auto const& [key, run] : running_)
    {
        auto const percent =
            run.length.count() == 0 ? 0 : (now - run.begun) * 100 / run.length;
        running.push_back({key.first, key.second, "", percent});
    }
    json::array ends;
    for (auto const& each : ended_)
        ends.push_back({each.number, each.task, each.run, each.how, ""});
    answer["running"] = std::move(running);
    answer["ended_runs"] = std::move(ends);
    co_return make_response(ok, answer);
}

} // namespace review
