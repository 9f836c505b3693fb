// Looks into records, and makes records of records. What is there is never changed: results go to a folder of
// their own.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

struct FileContents {
  std::string path;
  FileHead head;
  std::uint64_t bytes = 0, unpacked = 0, blocks = 0, entries = 0;
  Corruption damage;
  Nanos length{};
};
struct Contents {
  std::vector<FileContents> files;
  std::map<std::string, std::uint64_t> calls, orders;  // by what they are, in the schema's words
  std::uint64_t lives = 0;
};
Contents look_into(const std::vector<std::string>& files);

// The entries of a window, each with its time since the first of the record and the line that `write` is
// handed: in words, or as JSON.
void dump(const std::vector<std::string>& files, const Window& window, bool json,
          const std::function<void(Nanos, const std::string&)>& write);

// Entries to files of their own, synchronously. Throws net::Error if the folder holds records already or
// cannot be written.
class Copy {
 public:
  explicit Copy(std::string folder);
  ~Copy();
  Copy(const Copy&) = delete;
  Copy& operator=(const Copy&) = delete;
  void file(const FileHead& head);
  void entry(const kept::Entry& entry);
  // Entries are missing before the next.
  void lost(std::uint64_t entries) { lost_ += entries; }
  // What was handed in is written. Throws net::Error.
  void close();

 private:
  void close_block();

  const std::string folder_;
  FileHead head_;
  BlockHead block_;
  std::string payload_, text_;
  std::uint64_t lost_ = 0;
};

// What lies in the window, with what says who there is: starts, names, the list and who has joined before it.
// What is left out is marked as missing, so that a replay compares from the next start on.
// Returns how many entries were left out.
std::uint64_t cut(const std::vector<std::string>& files, const Window& window, const std::string& folder);

// All files in one folder, in their order; what is there twice once.
void merge(const std::vector<std::string>& files, const std::string& folder);

}  // namespace ospreypost::record
