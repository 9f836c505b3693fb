/// Decodes recorded events and passes them to a controller; the inverse of `record/event_encoder.h`.
#pragma once

#include "policy/controller.h"

namespace ospreypost::kept {
class Entry;
class ListEntry;
}  // namespace ospreypost::kept

namespace ospreypost::replay {

/// Decodes one recorded entry of an endpoint list.
EndpointUpdate decode_endpoint_update(const kept::ListEntry& encoded);

/// Repeats the recorded call on the controller. Returns false, without a call, if the entry is not an event
/// that a controller receives.
bool dispatch_event(const kept::Entry& entry, Controller& controller);

}  // namespace ospreypost::replay
