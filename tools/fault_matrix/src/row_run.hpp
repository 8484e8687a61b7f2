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
    /// Folder with the executables that are started.
    std::string programs;
    unsigned seed = 1;
};

struct verdict
{
    bool passed = false;
    /// Reasons of a failure, one line each.
    std::vector<std::string> reasons;
    /// Number of recorded facts that were checked against the rule under test.
    std::size_t examined = 0;
    /// Folder with the histories of a failed row.
    std::string folder;
};

/// Starts a system under load, injects the faults at the step, ends them, stops
/// the system and checks all histories.
verdict run_row(row const& tested, run_options const& options);

} // namespace masticshift::fault_matrix

#endif
