#ifndef MASTICSHIFT_FAULT_MATRIX_ROW_HPP
#define MASTICSHIFT_FAULT_MATRIX_ROW_HPP

#include "fault.hpp"
#include "step.hpp"

#include <string>
#include <vector>

namespace masticshift::fault_matrix
{

/// One line of the matrix.
struct row
{
    std::string name;
    /// One or two, which strike together.
    std::vector<fault> faults;
    step at = step::submit;
    history::rule guards = history::rule::task_starts_once;
};

/// Every fault at every step.
std::vector<row> single_rows();

/// A part of the single rows that has each rule and each kind of link.
std::vector<row> short_rows();

/// Two different faults at a step, drawn by the seed.
std::vector<row> pair_rows(unsigned count, unsigned seed);

} // namespace masticshift::fault_matrix

#endif
