// The path=value lines of an instance's first message, read into Settings.
#pragma once

#include <string_view>

#include "policy/controller.h"

namespace ospreypost::simulator {

// Throws Malformed where a needed key is missing or a value cannot be read; unknown keys are ignored.
Settings parse_settings(std::string_view text);

}  // namespace ospreypost::simulator
