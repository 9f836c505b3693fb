/// Converts actions of the controller to the form in which a record stores them. The recorder and the replay
/// share this conversion.
#pragma once

#include "policy/actions.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Appends the encoded action to the actions of the entry.
void encode_action(const Action& action, kept::Entry& entry);

}  // namespace ospreypost::record
