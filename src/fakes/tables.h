// Reads a routing table from a file in the format of Envoy or nginx. The readers follow the documentation of
// these formats and share no code with the writers, so that tests of the written files are independent.
#pragma once

#include <string>

#include "fakes/stub_resolver.h"

namespace ospreypost::fakes {

// Both return Kind::failed if the text isn't a table of that format.
Resolved read_envoy(const std::string& text);     // JSON of Envoy's file-based endpoint discovery
Resolved read_upstream(const std::string& text);  // nginx: `upstream NAME { server ADDRESS weight=N; ... }`

// Reads FOLDER/CLASS.json or, if that file is missing, FOLDER/CLASS.conf.
Resolved read_table(const std::string& folder, const std::string& cls);

}  // namespace ospreypost::fakes
