// Parses the settings in the external simulator's launch record, which are lines of the form path=value.
#pragma once

#include <string_view>

#include "policy/controller.h"

namespace ospreypost::simulator {

// Throws ProtocolError if a required key is missing or a value is not valid. Unknown keys are ignored.
Settings parse_settings(std::string_view text);

}  // namespace ospreypost::simulator
