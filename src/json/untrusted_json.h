/// Parses JSON documents that peers send. The memory of a parsed document is bounded in proportion to the
/// size of its text, which a plain parser does not ensure: it takes up to 70 times as much for nested or
/// empty values.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace ospreypost::json_input {

/// Returns whether the text is a valid document, nested no deeper than 32 levels, with no more than one value
/// for each 8 bytes of text beyond the first 1024 values.
bool is_valid_and_bounded(std::string_view text);

/// Returns the parsed document, or a discarded value if the text is not valid and bounded.
/// `Json` is `nlohmann::json` or `nlohmann::ordered_json`.
template <typename Json = nlohmann::json>
Json parse_untrusted(std::string_view text) {
  if (!is_valid_and_bounded(text)) return Json(nlohmann::detail::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

}  // namespace ospreypost::json_input
