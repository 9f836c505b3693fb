#include "simulator/codec.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ospreypost::simulator {

static_assert(std::endian::native == std::endian::little,
              "the protocol is little-endian, and fields are copied without conversion");

void FieldReader::fail(const std::string& fault) const { throw ProtocolError(record_ + ": " + fault); }

std::span<const std::byte> FieldReader::bytes(std::size_t count, const char* field) {
  if (count > bytes_.size()) {
    fail(std::string(field) + " needs " + std::to_string(count) + " bytes, " + std::to_string(bytes_.size()) +
         " left");
  }
  const auto part = bytes_.first(count);
  bytes_ = bytes_.subspan(count);
  return part;
}

std::string_view FieldReader::text(std::size_t count, const char* field) {
  const auto part = bytes(count, field);
  return {reinterpret_cast<const char*>(part.data()), part.size()};
}

double FieldReader::number(const char* field) {
  const auto value = take<double>(field);
  if (!std::isfinite(value)) fail(std::string(field) + " is not a finite number");
  return value;
}

float FieldReader::small_number(const char* field) {
  const auto value = take<float>(field);
  if (!std::isfinite(value)) fail(std::string(field) + " is not a finite number");
  return value;
}

Nanos FieldReader::time(const char* field) {
  const double seconds = number(field);
  // The conversion of more than 2^63 ns to an integer would be undefined behaviour.
  if (std::abs(seconds) > 9.0e9) fail(std::string(field) + " is out of range");
  return Nanos(std::llround(seconds * 1e9));
}

std::vector<float> FieldReader::load(const char* field) {
  std::vector<float> values(take<std::uint8_t>(field));
  for (auto& value : values) value = small_number(field);
  return values;
}

void ReplyFrame::begin() {
  frame_.assign(8, std::byte{});
  records_ = 0;
  announced_instance_.reset();
}

void ReplyFrame::announce_instance() {
  if (announced_instance_ == instance_) return;
  announced_instance_ = instance_;
  put_record(ActionCode::instance, instance_);
}

void ReplyFrame::put_text(std::string_view text) {
  put(static_cast<std::uint16_t>(text.size()));
  const auto* first = reinterpret_cast<const std::byte*>(text.data());
  frame_.insert(frame_.end(), first, first + text.size());
}

void ReplyFrame::record_text(ActionCode code, std::string_view text) {
  announce_instance();
  text = text.substr(0, 65535);
  put(static_cast<std::uint16_t>(code));
  put(static_cast<std::uint32_t>(2 + text.size()));
  put_text(text);
  ++records_;
}

void ReplyFrame::record_peer_message(std::uint16_t recipient, std::string_view text) {
  announce_instance();
  text = text.substr(0, 256);
  put(static_cast<std::uint16_t>(ActionCode::memo_to));
  put(static_cast<std::uint32_t>(4 + text.size()));
  put(recipient);
  put_text(text);
  ++records_;
}

std::span<const std::byte> ReplyFrame::finish() {
  const std::uint32_t header[2] = {records_, static_cast<std::uint32_t>(frame_.size())};
  std::memcpy(frame_.data(), header, sizeof(header));
  return frame_;
}

}  // namespace ospreypost::simulator
