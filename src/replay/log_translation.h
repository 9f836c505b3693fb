/// Log lines of earlier records in the texts of this build.
#pragma once

#include <string>

namespace ospreypost::replay {

/// The text that this build logs for what a recorded line says; a line that is no older text stays as it is.
std::string current_log_text(const std::string& recorded);

}  // namespace ospreypost::replay
