// Checks the five rules and computes the service score from a trace alone.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "checker/trace.h"

namespace ospreypost::checker {

struct ClassTerms {
  bool at_most_once = true;
  Time latency_objective{}, request_deadline{};
  double priority_weight = 1, late_priority_weight = 0;
};

struct Limits {
  Time drain_grace{};
  // Only replicas that are listed as draining must be drained; replicas that are missing from the list may
  // still receive operations.
  bool only_draining_is_binding = false;
  Time max_time_without_endpoints{};
  double overload_multiple = 0;
  Time overload_duration{};
  std::size_t max_messages_per_window = 0;
  Time message_window{};
  double max_queued_entries = 0;
  std::map<std::string, ClassTerms> classes;
  // Proxies that receive replicas in the answer to their first query. Other proxies must first be recognised
  // by the control plane, so the rule "no proxy bare" doesn't apply to them.
  std::vector<std::string> vouched;
};

struct Rule {
  std::string name;
  bool kept = true;
  std::string figures;  // readable text: the worst observed value and its limit
};

struct Service {
  double whole = 0, worst_window = 0, worst_class = 0;
  double score() const { return 0.7 * whole + 0.2 * worst_window + 0.1 * worst_class; }
};

struct CheckResult {
  std::vector<Rule> rules;  // the five rules, in the order in which they are specified
  Service service;
  std::size_t operations = 0, answered = 0;
  bool kept() const;
};

// `max_queued_entries`: largest number of queued table entries that the control plane itself reported.
CheckResult check_invariants(const Trace& trace, const Limits& limits, Time end, double max_queued_entries);

// Returns, for each whole second from `begin`, the fraction of the requests of that second that were answered
// within their latency objective, weighted by the priority weight of their class.
std::vector<double> service_by_second(const Trace& trace, const Limits& limits, Time begin, Time end);

}  // namespace ospreypost::checker
