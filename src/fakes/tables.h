// Reads a proxy's table from a file, in the forms that Envoy's and nginx's documentation give; shares nothing
// with whoever writes them.
#pragma once

#include <string>

#include "fakes/stub_resolver.h"

namespace ospreypost::fakes {

// Kind::failed if the text is no table of that form.
Resolved read_envoy(const std::string& text);     // JSON, file-based endpoint discovery
Resolved read_upstream(const std::string& text);  // `upstream NAME { server ADDRESS weight=N; ... }`

// FOLDER/CLASS.json, else FOLDER/CLASS.conf.
Resolved read_table(const std::string& folder, const std::string& cls);

}  // namespace ospreypost::fakes
