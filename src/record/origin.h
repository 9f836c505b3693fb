/// Where a report came from.
#pragma once

#include "policy/types.h"

namespace ospreypost::record {

/// The sender of a report and its delay. The controller does not receive it; a record stores it for whoever
/// plays the recorded time again.
struct Origin {
  ProxyId proxy{};
  Nanos late{};  ///< how much longer it travelled than the fastest report seen from that proxy; at least 0
};

}  // namespace ospreypost::record
