#ifndef MASTICSHIFT_PLACEMENT_RANK_BITMAP_HPP
#define MASTICSHIFT_PLACEMENT_RANK_BITMAP_HPP

#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticshift::placement
{

/// A set of ranks as a bitmap, iterated in ascending order.
class rank_bitmap
{
public:
    explicit rank_bitmap(std::size_t size = 0)
        : words_((size + word_bits - 1) / word_bits)
    {
    }

    void assign(std::size_t rank, bool on)
    {
        auto const bit = std::uint64_t{1} << (rank % word_bits);
        auto& word = words_[rank / word_bits];
        word = on ? word | bit : word & ~bit;
    }

    /// The first element at or after `rank`, or `none`.
    std::size_t next(std::size_t rank) const
    {
        auto index = rank / word_bits;
        if (index >= words_.size())
            return none;
        auto word = words_[index] & (~std::uint64_t{0} << (rank % word_bits));
        while (word == 0)
        {
            if (++index == words_.size())
                return none;
            word = words_[index];
        }
        auto const bit = static_cast<std::size_t>(std::countr_zero(word));
        return index * word_bits + bit;
    }

    bool contains(std::size_t rank) const
    {
        return (words_[rank / word_bits] >> (rank % word_bits) & 1) != 0;
    }

    bool empty() const
    {
        return next(0) == none;
    }

    static constexpr auto none = static_cast<std::size_t>(-1);

private:
    static constexpr std::size_t word_bits = 64;

    std::vector<std::uint64_t> words_;
};

} // namespace masticshift::placement

#endif
