#ifndef MASTICSHIFT_FAULT_MATRIX_CALL_LOAD_HPP
#define MASTICSHIFT_FAULT_MATRIX_CALL_LOAD_HPP

#include <config/daemon_settings.hpp>
#include <core/time.hpp>
#include <test_support/history_writer.hpp>

#include <memory>
#include <vector>

namespace masticshift::fault_matrix
{

struct load_options
{
    std::vector<config::socket_address> entries;
    unsigned callers = 10;
    /// For each caller, whatever happens.
    unsigned most_submissions = 400;
    unsigned seed = 1;
};

/// Concurrent callers that submit jobs and requests, resubmit them as
/// docs/API.md lets them, and write their history. They run on a thread of
/// their own from `start` to `finish`.
class call_load
{
public:
    call_load(load_options const& options,
              test_support::history_writer& records);
    ~call_load();

    call_load(call_load const&) = delete;
    call_load& operator=(call_load const&) = delete;

    void start();

    /// Submissions whose end is known to their caller.
    unsigned settled() const;

    /// Waits until so many more submissions are settled.
    bool wait_for(unsigned more, milliseconds patience) const;

    /// Cancels all that is under way, each at any entry.
    void cancel_all();

    /// Lets each caller settle its last submission. False when one did not
    /// within the time.
    bool finish(milliseconds patience);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::fault_matrix

#endif
