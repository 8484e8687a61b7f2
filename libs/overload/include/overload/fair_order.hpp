#ifndef MASTICSHIFT_OVERLOAD_FAIR_ORDER_HPP
#define MASTICSHIFT_OVERLOAD_FAIR_ORDER_HPP

#include <vector>

namespace masticshift::overload
{

/// The waiting jobs of one priority, in their own order.
template <class Iterator>
struct waiting_class
{
    Iterator next;
    Iterator end;
    /// See `fair_share`.
    double tag = 0;
    double weight = 1;
    /// The visit ends when it is the turn of this priority and none of its jobs
    /// is left.
    bool stop_at_end = false;
};

/// Calls `visit` with the jobs of all priorities in the order in which they are
/// to be served. `visit` returns the work that the job takes of its priority's
/// share: 0 if it can't be served now. An empty optional ends the visit.
/// `classes` has ascending priority numbers. Returns whether all were visited.
template <class Iterator, class Visit>
bool visit_fairly(std::vector<waiting_class<Iterator>> classes, Visit visit)
{
    while (true)
    {
        waiting_class<Iterator>* first = nullptr;
        for (auto& each : classes)
        {
            bool const has_turn = each.next != each.end || each.stop_at_end;
            if (has_turn && (first == nullptr || each.tag < first->tag))
                first = &each;
        }
        if (first == nullptr)
            return true;
        if (first->next == first->end)
            return false;
        auto const taken = visit(*first->next++);
        if (!taken)
            return false;
        first->tag += *taken / first->weight;
    }
}

} // namespace masticshift::overload

#endif
