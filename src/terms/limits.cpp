#include "terms/limits.h"

namespace ospreypost::terms {

checker::Limits limits_of(const config::Config& config) {
  const auto& settings = config.settings;
  checker::Limits limits;
  limits.drain_grace = settings.drain_grace;
  limits.only_draining_is_binding = settings.only_draining_is_binding;
  limits.max_time_without_endpoints = settings.max_time_without_endpoints;
  limits.overload_multiple = settings.overload_multiple;
  limits.overload_duration = settings.overload_duration;
  limits.max_messages_per_window = settings.max_messages_per_window;
  limits.message_window = settings.message_window;
  limits.max_queued_entries = settings.channel_max_queued_entries;
  for (std::size_t k = 0; k < config.classes.size(); ++k) {
    const auto& cls = settings.classes[k];
    limits.classes[config.classes[k]] = {cls.effect != Idempotency::idempotent, cls.latency_objective,
                                         cls.request_deadline, cls.priority_weight, cls.late_priority_weight};
  }
  for (const auto& proxy : config.proxies.known) {
    if (proxy.vouched) limits.vouched.push_back(proxy.name);
  }
  return limits;
}

}  // namespace ospreypost::terms
