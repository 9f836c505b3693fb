// Judges the five rules and the service from a trace alone.
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
  bool only_draining_is_binding = false;  // one that is merely gone from the list may be sent to
  Time max_time_without_endpoints{};
  double overload_multiple = 0;
  Time overload_duration{};
  std::size_t max_messages_per_window = 0;
  Time message_window{};
  double max_queued_entries = 0;
  std::map<std::string, ClassTerms> classes;
  // Proxies that were served with replicas from their first question on; the others show themselves first.
  std::vector<std::string> vouched;
};

struct Rule {
  std::string name;
  bool kept = true;
  std::string figures;  // for people: the worst that was seen, and the limit
};

struct Service {
  double whole = 0, worst_window = 0, worst_class = 0;
  double score() const { return 0.7 * whole + 0.2 * worst_window + 0.1 * worst_class; }
};

struct CheckResult {
  std::vector<Rule> rules;  // the five, in the order of the brief
  Service service;
  std::size_t operations = 0, answered = 0;
  bool kept() const;
};

// `worst_waiting` is what the governor itself counted of lines in its channel.
CheckResult check_invariants(const Trace& trace, const Limits& limits, Time end, double worst_waiting);

// For each whole second from `begin`, the worth that was answered in time, of that asked for then.
std::vector<double> service_by_second(const Trace& trace, const Limits& limits, Time begin, Time end);

}  // namespace ospreypost::checker
