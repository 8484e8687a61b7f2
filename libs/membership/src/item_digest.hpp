#ifndef MASTICSHIFT_MEMBERSHIP_ITEM_DIGEST_HPP
#define MASTICSHIFT_MEMBERSHIP_ITEM_DIGEST_HPP

#include <cstdint>
#include <string_view>

namespace masticshift::membership
{

/// FNV-1a hash of the fields of one item. The digests of several items are
/// combined by exclusive or, which does not depend on their order.
class item_digest
{
public:
    item_digest& add(std::string_view text)
    {
        for (char const c : text)
            add_byte(static_cast<unsigned char>(c));
        add_byte(0);
        return *this;
    }

    item_digest& add(std::int64_t number)
    {
        auto rest = static_cast<std::uint64_t>(number);
        for (unsigned i = 0; i < sizeof rest; ++i, rest >>= bits_per_byte)
            add_byte(static_cast<unsigned char>(rest));
        return *this;
    }

    /// The hash, mixed by MurmurHash3's finalizer, so that every bit depends on
    /// all bytes.
    std::uint64_t value() const
    {
        auto mixed = value_;
        mixed = (mixed ^ (mixed >> 33)) * 0xff51afd7ed558ccd;
        mixed = (mixed ^ (mixed >> 33)) * 0xc4ceb9fe1a85ec53;
        return mixed ^ (mixed >> 33);
    }

private:
    static constexpr unsigned bits_per_byte = 8;
    static constexpr std::uint64_t offset = 0xcbf29ce484222325;
    static constexpr std::uint64_t prime = 0x100000001b3;

    void add_byte(unsigned char byte)
    {
        value_ = (value_ ^ byte) * prime;
    }

    std::uint64_t value_ = offset;
};

} // namespace masticshift::membership

#endif
