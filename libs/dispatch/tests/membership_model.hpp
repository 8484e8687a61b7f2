#ifndef MASTICSHIFT_DISPATCH_TESTS_MEMBERSHIP_MODEL_HPP
#define MASTICSHIFT_DISPATCH_TESTS_MEMBERSHIP_MODEL_HPP

#include <dispatch/peer_roster.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticshift::dispatch::testing
{

/// Size of a modelled deployment. Each data centre has the same number of
/// entries and of cells.
struct deployment_size
{
    unsigned entries = 8;
    unsigned data_centres = 3;
    unsigned cells_per_data_centre = 1;
};

/// What the model has counted since `reset_counts`.
struct membership_counts
{
    std::size_t heartbeats = 0;
    std::size_t relayed_claims = 0;
    /// Entries reported as ended although they were running.
    std::size_t false_deaths = 0;
    std::size_t claims_begun = 0;
    /// Sum over all entries, cells and steps in which a running entry saw no
    /// dispatcher of a cell.
    std::size_t views_without_dispatcher = 0;
    std::size_t views = 0;
};

/// Entries with their rosters and the messages between them, without network or
/// threads. Endpoints are not modelled: each probe of one succeeds unless its
/// data centre is cut off.
class membership_model
{
public:
    membership_model(deployment_size size, double loss, unsigned seed)
        : size_(size), loss_(loss), random_(seed)
    {
        for (unsigned i = 0; i < size.entries; ++i)
            start_entry(i);
        for (unsigned centre = 0; centre < size.data_centres; ++centre)
        {
            for (unsigned number = 0; number < size.cells_per_data_centre;
                 ++number)
                cells_.push_back(
                    {centre_name(centre) + "/" + std::to_string(number) + "/" +
                         std::to_string(size.cells_per_data_centre),
                     centre_name(centre)});
        }
    }

    void run_for(milliseconds time)
    {
        auto const until = now_ + time;
        while (now_ < until)
            step();
    }

    /// The process ends; its address refuses connections if `refuses`.
    void kill(std::string const& address, bool refuses)
    {
        auto& entry = entries_.at(address);
        entry.running = false;
        entry.refuses = refuses;
    }

    void restart(std::string const& address)
    {
        auto& entry = entries_.at(address);
        start_entry(entry.number);
    }

    /// The process drains: it retires from its cells and claims no other.
    void drain(std::string const& address)
    {
        auto& entry = entries_.at(address);
        entry.draining = true;
        entry.roster->set_leaving();
        publish(entry);
    }

    /// The process does nothing, but messages to it are kept.
    void pause(std::string const& address, bool paused)
    {
        entries_.at(address).paused = paused;
    }

    /// Messages between this data centre and the others are lost.
    void cut(std::string const& data_centre, bool is_cut)
    {
        if (is_cut)
            cut_.insert(data_centre);
        else
            cut_.erase(data_centre);
    }

    /// The running entries that claim this cell.
    std::vector<std::string> holders(std::string const& cell) const
    {
        std::vector<std::string> found;
        for (auto const& [address, entry] : entries_)
        {
            if (entry.running && entry.claims.contains(cell))
                found.push_back(address);
        }
        return found;
    }

    std::vector<std::string> cells() const
    {
        std::vector<std::string> names;
        for (auto const& each : cells_)
            names.push_back(each.name);
        return names;
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> all;
        for (auto const& [address, entry] : entries_)
            all.push_back(address);
        return all;
    }

    bool every_cell_has_one_holder() const
    {
        return std::ranges::all_of(cells_,
                                   [&](cell_info const& each)
                                   {
                                       return holders(each.name).size() == 1;
                                   });
    }

    /// Runs until each cell has one dispatcher. Returns the time taken, or the
    /// limit.
    milliseconds settle(milliseconds limit)
    {
        auto const begin = now_;
        while (now_ - begin < limit && !every_cell_has_one_holder())
            step();
        return std::chrono::duration_cast<milliseconds>(now_ - begin);
    }

    std::string data_centre_of(std::string const& address) const
    {
        return entries_.at(address).roster->self().data_centre;
    }

    peer_roster& roster(std::string const& address)
    {
        return *entries_.at(address).roster;
    }

    membership_counts const& counts() const
    {
        return counts_;
    }

    void reset_counts()
    {
        counts_ = {};
    }

    time_point now() const
    {
        return now_;
    }

private:
    struct cell_info
    {
        std::string name;
        std::string data_centre;
    };

    struct modelled_entry
    {
        unsigned number = 0;
        std::unique_ptr<peer_roster> roster;
        std::set<std::string> claims;
        time_point next_heartbeat{};
        time_point next_decision{};
        bool running = true;
        bool refuses = false;
        bool paused = false;
        bool draining = false;
    };

    struct message
    {
        time_point arrives;
        std::size_t number = 0;
        std::string from;
        std::string to;
        bool is_response = false;
        entry_heartbeat content;
    };

    struct arrives_later
    {
        bool operator()(message const& a, message const& b) const
        {
            return std::tie(a.arrives, a.number) >
                   std::tie(b.arrives, b.number);
        }
    };

    static constexpr milliseconds step_time{5};
    static constexpr milliseconds heartbeat_interval{100};
    static constexpr milliseconds decision_interval{50};

    static std::string centre_name(unsigned number)
    {
        return "dc" + std::to_string(number);
    }

    static std::string address_of(unsigned number)
    {
        return "10.0." + std::to_string(number / 250) + "." +
               std::to_string(number % 250 + 1) + ":7720";
    }

    /// Every fifth entry is large, as in the deployments.
    static int processor_of(unsigned number, unsigned data_centres)
    {
        return number / data_centres % 5 == 0 ? 500 : 90;
    }

    void start_entry(unsigned number)
    {
        auto const address = address_of(number);
        entry_identity const self{address, ++incarnations_,
                                  centre_name(number % size_.data_centres),
                                  processor_of(number, size_.data_centres)};
        modelled_entry entry;
        entry.number = number;
        entry.roster = std::make_unique<peer_roster>(self, now_);
        for (unsigned i = 0; i < size_.entries; ++i)
            entry.roster->add_candidate(address_of(i),
                                        centre_name(i % size_.data_centres));
        entry.roster->record_directory_read();
        entry.next_heartbeat = now_ + milliseconds(draw(100));
        entry.next_decision = now_ + milliseconds(draw(50));
        entries_[address] = std::move(entry);
    }

    unsigned draw(unsigned below)
    {
        return std::uniform_int_distribution<unsigned>(0, below - 1)(random_);
    }

    bool is_lost(std::string const& from, std::string const& to)
    {
        auto const a = data_centre_of(from);
        auto const b = data_centre_of(to);
        if (a != b && (cut_.contains(a) || cut_.contains(b)))
            return true;
        return std::bernoulli_distribution(loss_)(random_);
    }

    void send(std::string const& from, std::string const& to, bool is_response,
              entry_heartbeat content)
    {
        if (is_lost(from, to))
            return;
        counts_.relayed_claims += content.relayed.size();
        in_transit_.push({now_ + milliseconds(1 + draw(4)), ++sent_, from, to,
                          is_response, std::move(content)});
    }

    void step()
    {
        now_ += step_time;
        while (!in_transit_.empty() && in_transit_.top().arrives <= now_)
        {
            auto const next = in_transit_.top();
            in_transit_.pop();
            deliver(next);
        }
        for (auto& [address, entry] : entries_)
        {
            if (!entry.running || entry.paused)
                continue;
            if (entry.next_heartbeat <= now_)
                send_heartbeats(address, entry);
            if (entry.next_decision <= now_)
                decide(entry);
        }
    }

    void send_heartbeats(std::string const& address, modelled_entry& entry)
    {
        entry.next_heartbeat = now_ + heartbeat_interval;
        for (auto const& target : entry.roster->targets(now_))
        {
            ++counts_.heartbeats;
            auto const& receiver = entries_.at(target);
            if (!receiver.running && receiver.refuses)
            {
                entry.roster->record_unanswered(target);
                entry.roster->record_connection_refused(target);
                continue;
            }
            send(address, target, false,
                 entry.roster->heartbeat_to(target, now_));
        }
    }

    void deliver(message const& each)
    {
        auto& receiver = entries_.at(each.to);
        if (!receiver.running)
            return;
        if (receiver.paused)
        {
            auto later = each;
            later.arrives = now_ + step_time;
            in_transit_.push(std::move(later));
            return;
        }
        receiver.roster->record_heartbeat(each.content, now_);
        if (!each.is_response)
            send(each.to, each.from, true,
                 receiver.roster->response_to(each.content, now_));
    }

    void decide(modelled_entry& entry)
    {
        entry.next_decision = now_ + decision_interval;
        for (auto const& ended : entry.roster->take_ended_entries(now_))
        {
            auto const& judged = entries_.at(ended.address);
            bool const running =
                judged.running && !judged.paused &&
                judged.roster->self().incarnation == ended.incarnation;
            if (running)
                ++counts_.false_deaths;
        }
        for (auto const& cell : cells_)
            decide(entry, cell);
        publish(entry);
    }

    void decide(modelled_entry& entry, cell_info const& cell)
    {
        auto& roster = *entry.roster;
        ++counts_.views;
        if (!roster.dispatcher_of(cell.name, now_))
            ++counts_.views_without_dispatcher;
        if (entry.claims.contains(cell.name))
        {
            if (entry.draining)
                return;
            if (roster.should_retire(cell.name, cell.data_centre, now_))
                entry.claims.erase(cell.name);
            return;
        }
        if (roster.should_probe(cell.name, cell.data_centre, now_))
            roster.record_probe(cell.name,
                                !cut_.contains(cell.data_centre) &&
                                    !cut_.contains(roster.self().data_centre),
                                now_);
        if (!roster.should_claim(cell.name, cell.data_centre, now_))
            return;
        ++counts_.claims_begun;
        entry.claims.insert(cell.name);
        publish(entry);
    }

    void publish(modelled_entry& entry)
    {
        std::vector<dispatch_claim> claims;
        for (auto const& cell : entry.claims)
        {
            dispatch_claim claim;
            claim.cell = cell;
            claim.token = entry.roster->self().incarnation;
            claim.endpoints = 50;
            claim.retiring = entry.draining;
            claims.push_back(std::move(claim));
        }
        entry.roster->set_claims(std::move(claims));
    }

    deployment_size size_;
    double loss_;
    std::mt19937 random_;
    time_point now_ = time_point{} + std::chrono::seconds(1'000);
    std::vector<cell_info> cells_;
    std::map<std::string, modelled_entry> entries_;
    std::priority_queue<message, std::vector<message>, arrives_later>
        in_transit_;
    std::set<std::string> cut_;
    std::int64_t incarnations_ = 0;
    std::size_t sent_ = 0;
    membership_counts counts_;
};

} // namespace masticshift::dispatch::testing

#endif
