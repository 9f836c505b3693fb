#include "policy/message_pacing.h"

#include <algorithm>

namespace ospreypost::policy {
namespace {

constexpr double kTokensOfUrgentMessage = 1;
/// Tolerance for rounding errors of a token count.
constexpr double kTokenTolerance = 1e-6;

bool suffices(double tokens, double needed) { return tokens >= needed - kTokenTolerance; }

}  // namespace

MessagePacing::MessagePacing(const Settings& settings)
    : limiter_(settings.max_messages_per_window, settings.message_window), min_gap_(limiter_.refill_time()) {}

/// Returns the proxy's tokens at a time. A proxy that leaves and joins again keeps its bucket: otherwise a
/// proxy that joins again and again would fill the channel with its tables.
double MessagePacing::tokens(ProxyId proxy, Nanos now) {
  const auto bucket = buckets_.try_emplace(proxy, limiter_.full_bucket(now)).first;
  return limiter_.refill(now, bucket->second);
}

MessagePacing::Allowances MessagePacing::allowances(const SubsetAssignment& assignment, Nanos now) {
  std::vector<double> fewest(last_messages_.size(), limiter_.depth());
  double fewest_of_unassigned = limiter_.depth();
  for (const auto& [id, proxy] : assignment.proxies()) {
    double& fewest_tokens = proxy.subset ? fewest[*proxy.subset] : fewest_of_unassigned;
    fewest_tokens = std::min(fewest_tokens, tokens(id, now));
  }
  const double tokens_of_normal_message = std::min(limiter_.depth(), kTokensOfUrgentMessage + 1);
  const auto allowance = [&](double tokens) {
    if (!suffices(tokens, kTokensOfUrgentMessage)) return Allowance::nothing;
    return suffices(tokens, tokens_of_normal_message) ? Allowance::all : Allowance::urgent;
  };
  Allowances allowed;
  allowed.unassigned = allowance(fewest_of_unassigned);
  for (std::size_t subset = 0; subset < fewest.size(); ++subset) {
    const bool is_too_soon = now < last_messages_[subset] + min_gap_;
    allowed.subsets.push_back(
        std::min(allowance(fewest[subset]), is_too_soon ? Allowance::urgent : Allowance::all));
  }
  return allowed;
}

bool MessagePacing::may_bind(ProxyId proxy, Nanos now) {
  return suffices(tokens(proxy, now), kTokensOfUrgentMessage);
}

bool MessagePacing::may_migrate(ProxyId proxy, Nanos now) {
  return suffices(tokens(proxy, now), limiter_.depth());
}

void MessagePacing::count_message(ProxyId proxy, Nanos now) {
  tokens(proxy, now);
  TokenBucketLimiter::take(buckets_.at(proxy));
}

void MessagePacing::count_messages(const SubsetAssignment& assignment,
                                   const std::function<bool(const Proxy&)>& is_sent, Nanos now) {
  for (const auto& [id, proxy] : assignment.proxies()) {
    if (!is_sent(proxy)) continue;
    count_message(id, now);
    if (proxy.subset) last_messages_[*proxy.subset] = now;
  }
}

}  // namespace ospreypost::policy
