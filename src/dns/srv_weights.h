// Conversion of the weights of a routing table into the 16-bit weights of SRV records.
#pragma once

#include <cstdint>
#include <vector>

namespace ospreypost::dns {

// Returns integers from 1 to 65,535 whose sum is exactly 65,535, computed by the largest remainder method.
// The share of each weight in the sum is off by less than 1 in 65,535, and no weight becomes 0. The results
// for equal weights differ by at most 1; the earlier entry gets the larger one. `weights`: at most 65,535
// weights, all above 0.
std::vector<std::uint16_t> to_srv_weights(const std::vector<double>& weights);

}  // namespace ospreypost::dns
