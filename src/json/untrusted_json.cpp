#include "json/untrusted_json.h"

#include <cstddef>
#include <string>

namespace ospreypost::json_input {
namespace {

constexpr std::size_t kMaxDepth = 32;
/// Number of values that a document of any size may have.
constexpr std::size_t kMinMaxValues = 1024;
/// The shortest values of the messages that are parsed take more bytes on average, with their names.
constexpr std::size_t kMinBytesPerValue = 8;

/// Counts values and levels without storing anything. Each event returns whether the parser is to continue.
class BoundsChecker : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit BoundsChecker(std::size_t text_bytes)
      : values_left_(kMinMaxValues + text_bytes / kMinBytesPerValue) {}

  bool null() override { return count_value(); }
  bool boolean(bool /*value*/) override { return count_value(); }
  bool number_integer(number_integer_t /*value*/) override { return count_value(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return count_value(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return count_value(); }
  bool string(string_t& /*value*/) override { return count_value(); }
  bool binary(binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return enter(); }
  bool key(string_t& /*name*/) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*size*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool count_value() {
    if (values_left_ == 0) return false;
    --values_left_;
    return true;
  }
  bool enter() {
    ++depth_;
    return depth_ <= kMaxDepth && count_value();
  }
  bool leave() {
    --depth_;
    return true;
  }

  std::size_t values_left_;
  std::size_t depth_ = 0;
};

}  // namespace

bool is_valid_and_bounded(std::string_view text) {
  BoundsChecker checker(text.size());
  return nlohmann::json::sax_parse(text, &checker);
}

}  // namespace ospreypost::json_input
