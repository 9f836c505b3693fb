/// The controller's actions in the form in which a record stores them: one function for all that write or
/// compare records.
#pragma once

#include "policy/actions.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Adds the action to those of the entry.
void encode_action(const Action& action, kept::Entry& entry);

}  // namespace ospreypost::record
