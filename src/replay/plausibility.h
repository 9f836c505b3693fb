/// Checks whether the numbers of an entry are within the range that a control plane writes.
#pragma once

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::replay {

/// Returns false if a time, span, count or enumerator is outside of the range that a control plane writes.
/// Sums of a few such numbers could overflow. The checksum of a block does not protect against a forged
/// record.
bool is_plausible(const kept::Entry& entry);

}  // namespace ospreypost::replay
