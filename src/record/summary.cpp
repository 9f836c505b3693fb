#include "record/summary.h"

#include <optional>

#include "record.pb.h"

namespace ospreypost::record {
namespace {

// Returns the name, as in record.proto, of the field that is set in the oneof.
template <typename Message>
std::string kind_of(const Message& message, const char* oneof) {
  const auto* field = message.GetReflection()->GetOneofFieldDescriptor(
      message, message.GetDescriptor()->FindOneofByName(oneof));
  return field ? field->name() : "nothing";
}

class EntryCounter : public RecordVisitor {
 public:
  explicit EntryCounter(RecordSummary& summary) : summary_(summary) {}

  void on_entry(const kept::Entry& entry) override {
    ++summary_.events[kind_of(entry, "call")];
    if (entry.has_begin()) ++summary_.incarnations;
    for (const auto& action : entry.orders()) ++summary_.actions[kind_of(action, "what")];
  }
  void on_gap(std::uint64_t) override {}

 private:
  RecordSummary& summary_;
};

void add_blocks(const std::string& text, FileSummary& summary) {
  BlockReader blocks(text);
  summary.header = blocks.header();
  std::optional<Nanos> first;
  while (const auto block = blocks.next()) {
    if (!first) first = block->header.first;
    summary.duration = block->header.last - *first;
    summary.unpacked_bytes += block->payload.size();
    summary.entries += block->header.entries;
    ++summary.blocks;
  }
}

}  // namespace

RecordSummary summarize(const std::vector<std::string>& files) {
  RecordSummary summary;
  EntryCounter counter(summary);
  for (const auto& path : files) {
    FileSummary file;
    file.path = path;
    file.corruption = visit_record({path}, counter);
    const std::string text = read_file(path);
    file.bytes = text.size();
    add_blocks(text, file);
    summary.files.push_back(std::move(file));
  }
  return summary;
}

}  // namespace ospreypost::record
