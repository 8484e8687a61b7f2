#ifndef MASTICSHIFT_FAULT_MATRIX_ROW_HPP
#define MASTICSHIFT_FAULT_MATRIX_ROW_HPP

#include "fault.hpp"
#include "step.hpp"

#include <string>
#include <vector>

namespace masticshift::fault_matrix
{

/// One line of the matrix: faults, the step at which they start, and the rule
/// that they test.
struct row
{
    std::string name;
    /// One or two faults that start together.
    std::vector<fault> faults;
    step at = step::submit;
    history::rule rule_under_test = history::rule::task_starts_once;
};

/// Every fault at every step.
std::vector<row> single_rows();

/// A selection of the single rows that covers each rule and each kind of link.
std::vector<row> short_rows();

/// Rows of two different faults at a step, drawn at random from the seed.
std::vector<row> pair_rows(unsigned count, unsigned seed);

} // namespace masticshift::fault_matrix

#endif
