#include "platform/table_push.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "resp/resp.h"

namespace ospreypost::platform {
namespace {

// Maximum number of weight changes in one message. The maximum keeps each message far below the platform's
// limit of 1 MiB, even with long replica names.
constexpr std::size_t kMaxChangesPerMessage = 4000;
// Smallest positive number that can be written with five decimals.
constexpr double kMinWrittenNumber = 1e-5;

// Formats a positive number with at most five decimals, without an exponent, which some readers reject.
std::string format_positive(double value) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.5f", std::max(value, kMinWrittenNumber));
  std::string text(buffer.data());
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

std::string format_number(double value) { return value > 0 ? format_positive(value) : "0"; }

void add_field(std::vector<std::string>& words, const char* name, std::string value) {
  words.emplace_back(name);
  words.push_back(std::move(value));
}

}  // namespace

void TablePushEncoder::add(const TablePush& push) {
  std::size_t next_change = 0;
  do {
    next_change = add_part(push, next_change);
  } while (next_change < push.changes.size());
}

// Adds one message with the changes from index `first_change` on. Returns the index of the first change that
// did not fit.
std::size_t TablePushEncoder::add_part(const TablePush& push, std::size_t first_change) {
  const bool first = first_change == 0;
  const auto end = std::min(push.changes.size(), first_change + kMaxChangesPerMessage);
  const bool last = end == push.changes.size();
  Words words{"push"};
  const bool names_classes = !push.classes.empty() && push.classes.size() < class_names_.size();
  if (names_classes) add_field(words, "routes", join_names(push.classes));
  if (push.complete && first) {
    add_field(words, "full", "1");
    ++entries_;
  }
  auto endpoints = encode_changes(push, first_change, end);
  if (!endpoints.empty()) add_field(words, "endpoints", std::move(endpoints));
  if (push.policy && last) {
    add_field(words, "admit", format_number(push.policy->admitted_fraction));
    add_field(words, "policy", std::to_string(static_cast<int>(push.policy->retry)));
    entries_ += push.classes.size();
  }
  messages_.push_back(std::move(words));
  return end;
}

std::string TablePushEncoder::encode_changes(const TablePush& push, std::size_t first_change,
                                             std::size_t end) {
  std::string endpoints;
  for (std::size_t n = first_change; n < end; ++n) {
    const auto& change = push.changes[n];
    const auto name = name_of_(change.replica);
    // A replica whose name was released is skipped, as a proxy closes a stream on which it receives a name
    // that discovery never listed.
    if (name.empty()) continue;
    ++entries_;
    if (!endpoints.empty()) endpoints += ',';
    endpoints += name;
    endpoints += ':';
    endpoints += format_number(change.weight);
  }
  return endpoints;
}

std::string TablePushEncoder::join_names(const std::vector<std::size_t>& classes) const {
  std::string names;
  for (const auto cls : classes) {
    if (!names.empty()) names += '+';
    names += class_names_[cls];
  }
  return names;
}

void TablePushEncoder::request_acknowledgement(std::uint64_t nonce) {
  add_field(messages_.back(), "nonce_out", std::to_string(nonce));
  ++entries_;
}

TableUpdateMessage TablePushEncoder::finish() {
  TableUpdateMessage message;
  message.entries = entries_;
  for (std::size_t n = 0; n < messages_.size(); ++n) {
    auto& words = messages_[n];
    const bool last = n + 1 == messages_.size();
    if (!last) add_field(words, "continued", "1");
    resp::write_message(message.bytes, {words.begin(), words.end()});
  }
  return message;
}

}  // namespace ospreypost::platform
