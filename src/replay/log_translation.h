/// Translates log lines in records of earlier builds to the log texts of this build.
#pragma once

#include <string>

namespace ospreypost::replay {

/// Returns the text that this build logs for the event of a recorded line. A line that does not match an
/// earlier text is returned unchanged.
std::string current_log_text(const std::string& recorded);

}  // namespace ospreypost::replay
