/// Recorded events given to a controller; the way back from `record/event_encoder.h`.
#pragma once

#include "policy/controller.h"

namespace ospreypost::kept {
class Entry;
class ListEntry;
}  // namespace ospreypost::kept

namespace ospreypost::replay {

/// One entry of an endpoint list, as it was recorded.
EndpointUpdate decode_endpoint_update(const kept::ListEntry& encoded);

/// Calls the controller as it was called when the entry was recorded. False if the entry is no event that a
/// controller receives; then nothing is called.
bool dispatch_event(const kept::Entry& entry, Controller& controller);

}  // namespace ospreypost::replay
