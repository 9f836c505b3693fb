/// Removes the names from a record.
#pragma once

#include <string>
#include <vector>

namespace ospreypost::replay {

/// Writes an anonymised copy of the record to a new folder. The names of proxies, replicas, zones, hardware
/// kinds and classes, addresses and paths are replaced, each name by the same pseudonym everywhere, so that a
/// replay of the copy leads to the same actions. Throws `record::StorageError` and `record::FormatError`
/// under the same conditions as `record::cut`, and `config::ConfigError` if a recorded configuration cannot
/// be read.
void anonymise(const std::vector<std::string>& files, const std::string& folder);

}  // namespace ospreypost::replay
