// Looks into records, and makes records of records. What is there is never changed: results go to a folder of
// their own.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

struct FileSummary {
  std::string path;
  FileHeader header;
  std::uint64_t bytes = 0, unpacked_bytes = 0, blocks = 0, entries = 0;
  Corruption corruption;
  Nanos duration{};
};
struct RecordSummary {
  std::vector<FileSummary> files;
  std::map<std::string, std::uint64_t> events, actions;  // by what they are, in the schema's words
  std::uint64_t incarnations = 0;
};
RecordSummary summarize(const std::vector<std::string>& files);

// The entries of a window, each with its time since the first of the record and the line that `write` is
// handed: in words, or as JSON.
void dump(const std::vector<std::string>& files, const TimeWindow& window, bool json,
          const std::function<void(Nanos, const std::string&)>& write);

// Entries to files of their own, synchronously. Throws net::Error if the folder holds records already or
// cannot be written.
class RecordCopier {
 public:
  explicit RecordCopier(std::string folder);
  ~RecordCopier();
  RecordCopier(const RecordCopier&) = delete;
  RecordCopier& operator=(const RecordCopier&) = delete;
  void begin_file(const FileHeader& head);
  void append(const kept::Entry& entry);
  // Entries are missing before the next.
  void mark_lost(std::uint64_t entries) { lost_ += entries; }
  // What was handed in is written. Throws net::Error.
  void close();

 private:
  void close_block();

  const std::string folder_;
  FileHeader header_;
  BlockHeader block_;
  std::string payload_, text_;
  std::uint64_t lost_ = 0;
};

// What lies in the window, with what says who there is: starts, names, the list and who has joined before it.
// What is left out is marked as missing, so that a replay compares from the next start on.
// Returns how many entries were left out.
std::uint64_t cut(const std::vector<std::string>& files, const TimeWindow& window, const std::string& folder);

// All files in one folder, in their order; what is there twice once.
void merge(const std::vector<std::string>& files, const std::string& folder);

}  // namespace ospreypost::record
