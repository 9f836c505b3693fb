#include "record/edit.h"

#include <algorithm>
#include <filesystem>

#include "record.pb.h"
#include "record/file_name.h"
#include "record/output_folder.h"
#include "record/record_copier.h"
#include "record/timed_visitor.h"

namespace ospreypost::record {
namespace {

namespace fs = std::filesystem;

// Returns whether an entry before the window is needed to know the replicas and proxies within the window.
bool establishes_fleet(const kept::Entry& entry) {
  switch (entry.call_case()) {
    case kept::Entry::kBegin:
    case kept::Entry::kNamed:
    case kept::Entry::kListReceived:
    case kept::Entry::kProxyJoined:
    case kept::Entry::kProxyLeft:
      return true;
    default:
      return false;
  }
}

class WindowCopier : public TimedVisitor {
 public:
  WindowCopier(const TimeWindow& window, RecordCopier& copier) : window_(window), copier_(copier) {}

  void on_file(const FileHeader& header) override {
    TimedVisitor::on_file(header);
    copier_.begin_file(header);
  }
  void on_entry(const kept::Entry& entry) override {
    const Nanos time = time_in_record(entry);
    const bool is_in_window = time >= window_.from && time <= window_.to;
    const bool is_needed = time < window_.from && establishes_fleet(entry);
    if (is_in_window || is_needed) {
      copier_.append(entry);
      return;
    }
    copier_.mark_lost(1);
    ++left_out_;
  }
  void on_gap(std::uint64_t lost_entries) override {
    copier_.mark_lost(std::max<std::uint64_t>(lost_entries, 1));
  }

  std::uint64_t left_out() const { return left_out_; }

 private:
  const TimeWindow& window_;
  RecordCopier& copier_;
  std::uint64_t left_out_ = 0;
};

std::string merged_name(const std::string& path, const std::string& text) {
  const FileHeader header = BlockReader(text).header();
  // A file before schema 2 has its wall time only in its name.
  if (header.wall_time == Nanos{}) return fs::path(path).filename().string();
  return encode_file_name(header.wall_time, header.number);
}

}  // namespace

std::uint64_t cut(const std::vector<std::string>& files, const TimeWindow& window,
                  const std::string& folder) {
  RecordCopier copier(folder);
  WindowCopier window_copier(window, copier);
  visit_record(files, window_copier);
  copier.close();
  return window_copier.left_out();
}

void merge(const std::vector<std::string>& files, const std::string& folder) {
  create_output_folder(folder);
  std::uint32_t name_clashes = 0;
  for (const auto& path : files) {
    const std::string text = read_file(path);
    fs::path target = fs::path(folder) / merged_name(path, text);
    if (fs::exists(target)) {
      ++name_clashes;
      target.replace_filename(target.stem().string() + "-" + std::to_string(name_clashes) + kFileExtension);
    }
    write_file(target, text);
  }
}

}  // namespace ospreypost::record
