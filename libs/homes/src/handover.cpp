#include <homes/handover.hpp>

namespace masticshift::homes
{

std::vector<handover_part> split_into_parts(handover_table const& table,
                                            handover_part_limits const& limits)
{
    std::vector<handover_part> parts(1, handover_part{table.header});
    std::size_t bytes = 0;
    for (auto const& record : table.records)
    {
        auto const size = size_of(*record.answer);
        auto const& filled = parts.back().records;
        bool const full = filled.size() >= limits.max_records ||
                          bytes + size > limits.max_answer_bytes;
        if (full && !filled.empty())
        {
            parts.push_back(handover_part{table.header});
            bytes = 0;
        }
        parts.back().records.push_back(record);
        bytes += size;
    }
    parts.back().last = true;
    return parts;
}

} // namespace masticshift::homes
