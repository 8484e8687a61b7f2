#ifndef MASTICSHIFT_HISTORY_RULE_CHECKS_HPP
#define MASTICSHIFT_HISTORY_RULE_CHECKS_HPP

#include <history/checker.hpp>

namespace masticshift::history
{

// One check for each rule, each in a file of its own.

rule_report check_task_starts(recorded_history const& history);
rule_report check_answer_completeness(recorded_history const& history);
rule_report check_answer_ownership(recorded_history const& history);
rule_report check_refusals(recorded_history const& history);
rule_report check_request_runs(recorded_history const& history);
rule_report check_leaving_endpoints(recorded_history const& history,
                                    milliseconds bound);
rule_report check_graceful_stops(recorded_history const& history);
rule_report check_configuration(recorded_history const& history,
                                milliseconds bound);

} // namespace masticshift::history

#endif
