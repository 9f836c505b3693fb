/// Converts events to the form in which a record stores them; `replay/event_decoder.h` is the inverse.
#pragma once

#include "record/events.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Stores the event in `entry`. The time and the actions of `entry` do not change.
void encode_event(const Event& event, kept::Entry& entry);

}  // namespace ospreypost::record
