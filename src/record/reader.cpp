#include "record/reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <tuple>

#include "record.pb.h"
#include "record/errors.h"
#include "record/file_name.h"

namespace ospreypost::record {
namespace {

namespace fs = std::filesystem;

// Upper limit of the size of a file header in any schema.
constexpr std::size_t kMaxHeaderBytes = 64;

struct RecordFile {
  FileHeader header;
  std::string path;
  std::string name;
};

std::string read_file_start(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw StorageError("cannot read " + path, path);
  std::string text(kMaxHeaderBytes, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

// Returns the wall time of a file. If the header has no time (before schema 2) or is corrupt, the time is
// taken from the file name.
Nanos wall_time_of(const FileHeader& header, const std::string& path) {
  if (header.wall_time != Nanos{}) return header.wall_time;
  return wall_time_of_name(path).value_or(Nanos{});
}

RecordFile identify_file(const std::string& path) {
  try {
    FileHeader header = BlockReader(read_file_start(path)).header();
    header.wall_time = wall_time_of(header, path);
    return {header, path, fs::path(path).filename().string()};
  } catch (const FormatError& error) {
    throw error.in_file(path);
  }
}

void append_files_of_folder(const std::string& folder, std::vector<RecordFile>& files) {
  const std::size_t files_before = files.size();
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == kFileExtension) files.push_back(identify_file(entry.path()));
  }
  if (files.size() == files_before) throw StorageError("there is no record in " + folder, folder);
}

bool is_earlier(const RecordFile& left, const RecordFile& right) {
  return std::tie(left.header.wall_time, left.header.number, left.name, left.path) <
         std::tie(right.header.wall_time, right.header.number, right.name, right.path);
}

bool has_same_contents(const RecordFile& left, const RecordFile& right) {
  if (left.header.wall_time != right.header.wall_time) return false;
  if (left.header.number != right.header.number) return false;
  std::error_code ignored;
  return fs::file_size(left.path, ignored) == fs::file_size(right.path, ignored) &&
         read_file(left.path) == read_file(right.path);
}

// Returns the header of a file. Times missing in the header are taken from the file name and the first block.
FileHeader complete_header(const std::string& path, const std::string& text) {
  BlockReader blocks(text);
  FileHeader header = blocks.header();
  if (header.wall_time != Nanos{}) return header;
  header.wall_time = wall_time_of(header, path);
  if (const auto block = blocks.next()) header.clock_time = block->header.first;
  return header;
}

// Converts a window of the record's time to the monotonic clock of the entries in `file`.
TimeWindow on_file_clock(const TimeWindow& window, const FileHeader& first_file, const FileHeader& file) {
  const Nanos offset = file.clock_time - (file.wall_time - first_file.wall_time);
  const bool is_open_ended = window.to == Nanos::max();
  return {window.from + offset, is_open_ended ? window.to : window.to + offset};
}

void visit_blocks(BlockReader& blocks, RecordVisitor& visitor, Corruption& corruption) {
  kept::Block entries;
  std::size_t corrupt_regions_before = 0;
  while (const auto block = blocks.next()) {
    const std::uint64_t lost_entries = block->header.lost_before;
    const bool has_gap = lost_entries > 0 || blocks.corrupt_regions() > corrupt_regions_before;
    if (has_gap) visitor.on_gap(lost_entries);
    corrupt_regions_before = blocks.corrupt_regions();
    corruption.lost_entries += lost_entries;
    if (!entries.ParseFromString(block->payload)) {
      ++corruption.corrupt_regions;
      visitor.on_gap(0);
      continue;
    }
    for (const auto& entry : entries.entries()) visitor.on_entry(entry);
  }
  // An unfinished block at the end of a file is counted but is not a gap: after the crash that caused it, the
  // record continues with another start or ends.
  corruption.corrupt_regions += blocks.corrupt_regions();
}

}  // namespace

std::vector<std::string> list_files(const std::vector<std::string>& paths) {
  std::vector<RecordFile> files;
  for (const auto& path : paths) {
    std::error_code ignored;
    if (fs::is_directory(path, ignored)) {
      append_files_of_folder(path, files);
    } else {
      files.push_back(identify_file(path));
    }
  }
  std::sort(files.begin(), files.end(), is_earlier);
  files.erase(std::unique(files.begin(), files.end(), has_same_contents), files.end());
  std::vector<std::string> sorted_paths;
  sorted_paths.reserve(files.size());
  for (auto& file : files) sorted_paths.push_back(std::move(file.path));
  return sorted_paths;
}

std::string read_file(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw StorageError("cannot read " + path, path);
  std::ostringstream text;
  // An empty file, which a full disk can leave, is not an error; only failed reads are.
  text << stream.rdbuf();
  if (stream.bad()) throw StorageError("cannot read " + path, path);
  return std::move(text).str();
}

Corruption visit_record(const std::vector<std::string>& files, const TimeWindow& window,
                        RecordVisitor& visitor) {
  Corruption corruption;
  std::optional<FileHeader> first_file;
  const bool is_restricted = window.from > Nanos{} || window.to < Nanos::max();
  for (const auto& path : files) {
    const std::string text = read_file(path);
    BlockReader blocks(text);
    const FileHeader header = complete_header(path, text);
    if (!first_file) first_file = header;
    visitor.on_file(header);
    if (is_restricted) {
      const TimeWindow file_window = on_file_clock(window, *first_file, header);
      blocks.restrict_to(file_window.from, file_window.to);
    }
    visit_blocks(blocks, visitor, corruption);
  }
  return corruption;
}

Corruption visit_record(const std::vector<std::string>& files, RecordVisitor& visitor) {
  return visit_record(files, {}, visitor);
}

}  // namespace ospreypost::record
