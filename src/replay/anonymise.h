/// A record without its names.
#pragma once

#include <string>
#include <vector>

namespace ospreypost::replay {

/// Writes the record to a folder of its own. The names of proxies, replicas, zones, hardware kinds and
/// classes, addresses and paths are replaced, each by the same one everywhere, so that a replay still leads
/// to the same actions. Throws `record::StorageError` and `record::FormatError` as `record::cut`, and
/// `config::ConfigError` if a recorded configuration cannot be read.
void anonymise(const std::vector<std::string>& files, const std::string& folder);

}  // namespace ospreypost::replay
