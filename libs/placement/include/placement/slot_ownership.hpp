#ifndef MASTICSHIFT_PLACEMENT_SLOT_OWNERSHIP_HPP
#define MASTICSHIFT_PLACEMENT_SLOT_OWNERSHIP_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// An entry that owns a share of the slots.
struct entry_share
{
    /// Peer address.
    std::string address;
    std::string data_centre;
    /// Share relative to the other entries; above 0.
    double weight = 1.0;

    friend bool operator==(entry_share const&, entry_share const&) = default;
};

/// Assigns each slot to one entry, its owner, by weighted rendezvous hashing
/// over the live entries of the endpoint's data centre, or over all entries
/// when none is there.
///
/// The owner depends only on the list of entries, so that entries with the same
/// list agree without communication. When an entry joins or leaves, only the
/// slots that it gains or loses change owner.
class slot_ownership
{
public:
    /// Returns whether the list of entries changed.
    bool set_entries(std::vector<entry_share> entries);

    /// Peer address of the owner; empty when there are no entries.
    std::string_view owner(std::string_view endpoint,
                           std::string_view data_centre, unsigned slot) const;

private:
    struct hashed_entry
    {
        std::uint64_t hash = 0;
        entry_share share;
    };

    bool has_entry_in(std::string_view data_centre) const;

    std::vector<entry_share> entries_;
    std::vector<hashed_entry> hashed_;
};

} // namespace masticshift::placement

#endif
