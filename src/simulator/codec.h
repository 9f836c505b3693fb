// Bytes of the wire: a reader that never leaves its bounds and a writer of reply frames.
#pragma once

#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::simulator {

// Input that does not fit the wire; its text names what and where.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class EventCode : std::uint16_t {
  due = 256,
  slice_load = 257,
  parted = 258,
  mandate = 259,
  discovery = 260,
  digest = 261,
  demand = 262,
  in_store = 263,
  subscribed = 264,
  halt = 265,
  launch = 266,
  echo = 267,
  installed = 268,
  heard = 269,
  target_instance = 270,
};

enum class ActionCode : std::uint16_t {
  set_admitted_fraction = 320,
  cordon = 321,
  pin = 322,
  ask_load = 323,
  arm = 324,
  print = 325,
  memo_to = 326,
  lookup = 327,
  endpoint = 328,
  empty = 329,
  bail_out = 330,
  watch = 331,
  instance = 332,
  mark = 333,
};

static_assert(sizeof(float) == 4 && sizeof(double) == 8);

// Reads fields one after the other; `where` names the record in every complaint.
class FieldReader {
 public:
  FieldReader(std::span<const std::byte> bytes, std::string where)
      : bytes_(bytes), where_(std::move(where)) {}

  template <typename T>
  T take(const char* field) {
    T value;
    const auto part = bytes(sizeof(T), field);
    std::memcpy(&value, part.data(), sizeof(T));
    return value;
  }
  double number(const char* field);       // f64, finite
  float small_number(const char* field);  // f32, finite
  Nanos time(const char* field);          // f64 seconds
  std::span<const std::byte> bytes(std::size_t count, const char* field);
  std::string_view text(std::size_t count, const char* field);
  std::vector<float> load(const char* field);
  std::size_t left() const { return bytes_.size(); }
  [[noreturn]] void complain(const std::string& what) const;

 private:
  std::span<const std::byte> bytes_;
  std::string where_;
};

// Builds one reply frame. Records belong to the instance last named with `for_instance`.
class ReplyFrame {
 public:
  ReplyFrame() { begin(); }
  void begin();
  void for_instance(std::uint32_t instance) { instance_ = instance; }

  template <typename... Fields>
  void record(ActionCode code, Fields... fields) {
    announce_instance();
    put_record(code, fields...);
  }
  void record_text(ActionCode code, std::string_view text);
  void memo(std::uint16_t recipient, std::string_view text);
  std::span<const std::byte> finish();  // the frame, header filled in

 private:
  void announce_instance();
  template <typename T>
  void put(T value) {
    const auto at = frame_.size();
    frame_.resize(at + sizeof(T));
    std::memcpy(frame_.data() + at, &value, sizeof(T));
  }
  template <typename... Fields>
  void put_record(ActionCode code, Fields... fields) {
    put(static_cast<std::uint16_t>(code));
    put(static_cast<std::uint32_t>((sizeof(Fields) + ... + 0)));
    (put(fields), ...);
    ++records_;
  }
  void put_text(std::string_view text);

  std::vector<std::byte> frame_;
  std::uint32_t records_ = 0;
  std::uint32_t instance_ = 0;
  std::optional<std::uint32_t> announced_;
};

}  // namespace ospreypost::simulator
