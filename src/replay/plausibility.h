/// Whether an entry can have been written by a control plane, as far as its numbers tell.
#pragma once

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::replay {

/// False if a time, span, count or enumerator is beyond what a control plane writes: sums of a few such
/// numbers would not fit their types. A block's checksum cannot tell that of a forged record.
bool is_plausible(const kept::Entry& entry);

}  // namespace ospreypost::replay
