// Where a line of a report came from. The module is not told; a record keeps it, for whoever plays the day
// again.
#pragma once

#include "policy/controller.h"

namespace ospreypost::record {

struct Origin {
  ProxyId proxy{};
  Nanos late{};  // how much longer than the shortest seen from that proxy its way was; at least 0
};

}  // namespace ospreypost::record
