/// The origin of a report.
#pragma once

#include "policy/types.h"

namespace ospreypost::record {

/// The proxy that sent a report, and the delay of the report. The controller does not receive the origin; a
/// record stores it for simulations of the recorded time.
struct Origin {
  ProxyId proxy{};
  Nanos late{};  ///< delay beyond that of the fastest report seen from the proxy; at least 0
};

}  // namespace ospreypost::record
