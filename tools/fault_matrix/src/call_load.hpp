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
    /// Upper limit for each caller, whether or not its submissions settle.
    unsigned max_submissions = 400;
    unsigned seed = 1;
};

/// Concurrent callers that submit jobs and requests, resubmit them as
/// docs/API.md allows, and write their history. They run on a separate
/// thread from `start` to `finish`.
class call_load
{
public:
    call_load(load_options const& options,
              test_support::history_writer& records);
    ~call_load();

    call_load(call_load const&) = delete;
    call_load& operator=(call_load const&) = delete;

    void start();

    /// Number of submissions that their callers have ended: with a definite
    /// result, or after the last retry.
    unsigned settled() const;

    /// Waits until `more` further submissions are settled. False on timeout.
    bool wait_for(unsigned more, milliseconds timeout) const;

    /// Cancels all running submissions, each through an entry taken in turn.
    void cancel_all();

    /// Stops new submissions and waits until each caller has settled its last
    /// one. False on timeout.
    bool finish(milliseconds timeout);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::fault_matrix

#endif
