#include "dns/srv_weights.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ospreypost::dns {

std::vector<std::uint16_t> to_srv_weights(const std::vector<double>& weights) {
  constexpr double total = 65535;
  const auto count = weights.size();
  std::vector<std::uint16_t> srv_weights(count, 1);
  if (count == 0) return srv_weights;
  const double largest = *std::max_element(weights.begin(), weights.end());
  // The weights are divided by the largest weight first, so that their sum does not overflow.
  std::vector<double> exact(count);
  double sum = 0;
  for (const double weight : weights) sum += weight / largest;
  for (std::size_t i = 0; i < count; ++i) exact[i] = weights[i] / largest / sum * total;

  double remaining = total;
  for (std::size_t i = 0; i < count; ++i) {
    srv_weights[i] = static_cast<std::uint16_t>(std::max(1.0, std::floor(exact[i])));
    remaining -= srv_weights[i];
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t first, std::size_t second) {
    return exact[first] - srv_weights[first] > exact[second] - srv_weights[second];
  });
  // The units lost by rounding down are given back one by one, to the entries with the largest remainders
  // first. If the minimum of 1 made the sum too large, units are taken from the entries with the smallest
  // remainders.
  for (std::size_t i = 0; remaining > 0; i = (i + 1) % count, --remaining) ++srv_weights[order[i]];
  for (std::size_t i = count; remaining < 0;) {
    i = i == 0 ? count - 1 : i - 1;
    if (srv_weights[order[i]] > 1) --srv_weights[order[i]], ++remaining;
  }
  return srv_weights;
}

}  // namespace ospreypost::dns
