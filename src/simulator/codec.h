// The binary format of the external simulator: a bounds-checked reader of fields and a writer of reply
// frames.
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

// Input that does not conform to the protocol. The message names the record, the field and the fault.
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

// Reads consecutive fields of a record. `record` names the record in error messages.
class FieldReader {
 public:
  FieldReader(std::span<const std::byte> bytes, std::string record)
      : bytes_(bytes), record_(std::move(record)) {}

  template <typename T>
  T take(const char* field) {
    T value;
    const auto part = bytes(sizeof(T), field);
    std::memcpy(&value, part.data(), sizeof(T));
    return value;
  }
  // Each function throws ProtocolError if the record is too short or the value is not valid. `field` names
  // the field in the error message.
  double number(const char* field);       // a finite 64-bit number
  float small_number(const char* field);  // a finite 32-bit number
  Nanos time(const char* field);          // seconds as a 64-bit number
  std::span<const std::byte> bytes(std::size_t count, const char* field);
  std::string_view text(std::size_t count, const char* field);
  std::vector<float> load(const char* field);
  std::size_t left() const { return bytes_.size(); }
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::span<const std::byte> bytes_;
  std::string record_;
};

// Builds one reply frame. A record belongs to the instance that the last call of `for_instance` named.
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
  void record_peer_message(std::uint16_t recipient, std::string_view text);
  std::span<const std::byte> finish();  // fills in the header and returns the frame

 private:
  // Adds the record that names the instance, if the frame's last such record names another one.
  void announce_instance();
  template <typename T>
  void put(T value) {
    const auto offset = frame_.size();
    frame_.resize(offset + sizeof(T));
    std::memcpy(frame_.data() + offset, &value, sizeof(T));
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
  std::optional<std::uint32_t> announced_instance_;
};

}  // namespace ospreypost::simulator
