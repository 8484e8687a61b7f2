#ifndef MASTICSHIFT_FAULT_MATRIX_ROW_RUN_HPP
#define MASTICSHIFT_FAULT_MATRIX_ROW_RUN_HPP

#include "row.hpp"

#include <history/checker.hpp>

#include <string>
#include <vector>

namespace masticshift::fault_matrix
{

struct run_options
{
    /// Folder of the programs.
    std::string programs;
    unsigned seed = 1;
};

struct verdict
{
    bool passed = false;
    /// Why not, a line each.
    std::vector<std::string> reasons;
    /// Facts examined for the row's own rule.
    std::size_t examined = 0;
    /// Where the histories of a failed run are kept.
    std::string folder;
};

/// Starts a system, strikes it at the step, heals and stops it, and checks all
/// histories.
verdict run_row(row const& what, run_options const& options);

} // namespace masticshift::fault_matrix

#endif
