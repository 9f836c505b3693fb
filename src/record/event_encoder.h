/// Events in the form in which a record stores them; `replay/event_decoder.h` is the way back.
#pragma once

#include "record/events.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Makes `entry` that of the event; its time and its actions are left as they are.
void encode_event(const Event& event, kept::Entry& entry);

}  // namespace ospreypost::record
