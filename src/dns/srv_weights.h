// The module's weights as the 16 bits of an SRV record.
#pragma once

#include <cstdint>
#include <vector>

namespace ospreypost::dns {

// Whole numbers of 1 to 65,535 whose sum is 65,535 exactly: by largest remainders, so that each share of the
// sum is off by less than 1 in 65,535, and nothing above 0 vanishes. Equal weights differ by 1 at the most;
// the earlier line takes it. Input: weights above 0, at most 65,535 of them.
std::vector<std::uint16_t> to_srv_weights(const std::vector<double>& weights);

}  // namespace ospreypost::dns
