#include "record/edit.h"

#include <google/protobuf/util/json_util.h>

#include <filesystem>
#include <fstream>
#include <optional>

#include "net/socket.h"
#include "record.pb.h"

namespace ospreypost::record {
namespace {

namespace fs = std::filesystem;
using kept::Entry;

constexpr std::size_t kBlockBytes = 64 * 1024;

template <typename Message>
std::string word_of(const Message& message, const char* oneof) {
  const auto* field = message.GetReflection()->GetOneofFieldDescriptor(
      message, message.GetDescriptor()->FindOneofByName(oneof));
  return field ? field->name() : "nothing";
}

void need_empty(const std::string& folder) {
  std::error_code error;
  fs::create_directories(folder, error);
  if (error) throw net::Error("the folder " + folder + ": " + error.message());
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == ".rec") throw net::Error("there are records in " + folder + " already");
  }
}

void put_file(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw net::Error("cannot write " + path.string());
}

// A visitor that knows what time of the record an entry has.
class Timed : public RecordVisitor {
 public:
  void on_file(const FileHeader& head) override {
    if (!first_) first_ = head.wall_time;
    header_ = head;
  }

 protected:
  Nanos time_of(const Entry& entry) const {
    return Nanos(entry.at()) - header_.clock_time + header_.wall_time - *first_;
  }
  FileHeader header_;

 private:
  std::optional<Nanos> first_;
};

class Counting : public RecordVisitor {
 public:
  explicit Counting(RecordSummary& contents) : contents_(contents) {}
  void on_entry(const Entry& entry) override {
    ++contents_.events[word_of(entry, "call")];
    contents_.incarnations += entry.call_case() == Entry::kBegin;
    for (const auto& order : entry.orders()) ++contents_.actions[word_of(order, "what")];
  }
  void on_gap(std::uint64_t) override {}

 private:
  RecordSummary& contents_;
};

class Dumping : public Timed {
 public:
  Dumping(const TimeWindow& window, bool json, const std::function<void(Nanos, const std::string&)>& write)
      : window_(window), json_(json), write_(write) {}
  void on_entry(const Entry& entry) override {
    const Nanos at = time_of(entry);
    if (at < window_.from || at > window_.to) return;
    std::string line;
    if (json_) {
      google::protobuf::util::MessageToJsonString(entry, &line);
    } else {
      line = entry.ShortDebugString();
    }
    write_(at, line);
  }
  void on_gap(std::uint64_t lost) override {
    write_({}, "gap: " + std::to_string(lost) + " entries missing");
  }

 private:
  const TimeWindow& window_;
  const bool json_;
  const std::function<void(Nanos, const std::string&)>& write_;
};

class Cutting : public Timed {
 public:
  Cutting(const TimeWindow& window, RecordCopier& copy) : window_(window), copy_(copy) {}
  void on_file(const FileHeader& head) override {
    Timed::on_file(head);
    copy_.begin_file(head);
  }
  void on_entry(const Entry& entry) override {
    const Nanos at = time_of(entry);
    const auto call = entry.call_case();
    const bool stands = call == Entry::kBegin || call == Entry::kNamed || call == Entry::kListReceived ||
                        call == Entry::kProxyJoined || call == Entry::kProxyLeft;
    if ((at >= window_.from && at <= window_.to) || (at < window_.from && stands)) return copy_.append(entry);
    copy_.mark_lost(1);
    ++left_out;
  }
  void on_gap(std::uint64_t lost) override { copy_.mark_lost(std::max<std::uint64_t>(lost, 1)); }
  std::uint64_t left_out = 0;

 private:
  const TimeWindow& window_;
  RecordCopier& copy_;
};

}  // namespace

RecordSummary summarize(const std::vector<std::string>& files) {
  RecordSummary contents;
  Counting counting(contents);
  for (const auto& path : files) {
    FileSummary found;
    found.path = path;
    found.corruption = visit_record({path}, counting);
    const auto text = read_file(path);
    found.bytes = text.size();
    BlockReader blocks(text);
    found.header = blocks.header();
    std::optional<Nanos> first;
    while (const auto block = blocks.next()) {
      if (!first) first = block->header.first;
      found.duration = block->header.last - *first;
      found.unpacked_bytes += block->payload.size();
      found.entries += block->header.entries;
      ++found.blocks;
    }
    contents.files.push_back(std::move(found));
  }
  return contents;
}

void dump(const std::vector<std::string>& files, const TimeWindow& window, bool json,
          const std::function<void(Nanos, const std::string&)>& write) {
  Dumping dumping(window, json, write);
  visit_record(files, window, dumping);
}

RecordCopier::RecordCopier(std::string folder) : folder_(std::move(folder)) { need_empty(folder_); }

RecordCopier::~RecordCopier() = default;

void RecordCopier::begin_file(const FileHeader& head) {
  close();
  header_ = head;
  header_.schema = kSchemaVersion;
}

void RecordCopier::append(const Entry& entry) {
  if (block_.entries == 0) block_ = {0, std::exchange(lost_, 0), Nanos(entry.at()), {}};
  // What is missing is told by the head of the block after it.
  if (lost_ > 0) {
    close_block();
    block_ = {0, std::exchange(lost_, 0), Nanos(entry.at()), {}};
  }
  kept::Block one;
  *one.add_entries() = entry;
  one.AppendToString(&payload_);
  ++block_.entries;
  block_.last = Nanos(entry.at());
  if (payload_.size() >= kBlockBytes) close_block();
}

void RecordCopier::close_block() {
  if (block_.entries == 0) return;
  text_ += encode_block(block_, payload_);
  payload_.clear();
  block_ = {};
}

void RecordCopier::close() {
  close_block();
  if (text_.empty()) return;
  put_file(fs::path(folder_) / file_name(header_.wall_time, header_.number),
           encode_file_header(header_) + std::exchange(text_, {}));
}

std::uint64_t cut(const std::vector<std::string>& files, const TimeWindow& window,
                  const std::string& folder) {
  RecordCopier copy(folder);
  Cutting cutting(window, copy);
  visit_record(files, cutting);
  copy.close();
  return cutting.left_out;
}

void merge(const std::vector<std::string>& files, const std::string& folder) {
  need_empty(folder);
  std::uint32_t place = 0;
  for (const auto& path : files) {
    const auto text = read_file(path);
    auto head = BlockReader(text).header();
    // Of an older schema the name is all that tells its time.
    const auto name = head.wall_time == Nanos{} ? fs::path(path).filename().string()
                                                : file_name(head.wall_time, head.number);
    auto to = fs::path(folder) / name;
    if (fs::exists(to)) to.replace_filename(to.stem().string() + "-" + std::to_string(++place) + ".rec");
    put_file(to, text);
  }
}

}  // namespace ospreypost::record
