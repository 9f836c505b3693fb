#include "dns/srv_weights.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ospreypost::dns {

std::vector<std::uint16_t> to_srv_weights(const std::vector<double>& weights) {
  constexpr double whole = 65535;
  const auto count = weights.size();
  std::vector<std::uint16_t> units(count, 1);
  if (count == 0) return units;
  const double largest = *std::max_element(weights.begin(), weights.end());
  // Scaled first, so that no sum of doubles overflows.
  std::vector<double> exact(count);
  double sum = 0;
  for (const double weight : weights) sum += weight / largest;
  for (std::size_t i = 0; i < count; ++i) exact[i] = weights[i] / largest / sum * whole;

  double left = whole;
  for (std::size_t i = 0; i < count; ++i) {
    units[i] = static_cast<std::uint16_t>(std::max(1.0, std::floor(exact[i])));
    left -= units[i];
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return exact[a] - units[a] > exact[b] - units[b]; });
  // What was rounded down comes back one by one; what the least lines took beyond their share, the lines that
  // were rounded least give up again.
  for (std::size_t i = 0; left > 0; i = (i + 1) % count, --left) ++units[order[i]];
  for (std::size_t i = count; left < 0;) {
    i = i == 0 ? count - 1 : i - 1;
    if (units[order[i]] > 1) --units[order[i]], ++left;
  }
  return units;
}

}  // namespace ospreypost::dns
