#include "record/reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <tuple>

#include "net/socket.h"
#include "record.pb.h"

namespace ospreypost::record {

namespace fs = std::filesystem;

namespace {

constexpr std::size_t kMaxHeaderBytes = 64;  // bytes, more than any file's head

// Before schema 2, and where the head is damaged, the time stands in the name alone.
Nanos named_wall(const std::string& file) { return wall_time_of_name(fs::path(file).stem().string()); }

// The head of a file, from its first bytes alone.
FileHeader head_of(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string text(kMaxHeaderBytes, '\0');
  if (!stream) throw net::Error("cannot read " + file);
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  try {
    auto head = BlockReader(text).header();
    if (head.wall_time == Nanos{}) head.wall_time = named_wall(file);
    return head;
  } catch (const net::Error& error) {
    throw net::Error(file + ": " + error.what());
  }
}

FileHeader whole_head(const std::string& file, const std::string& text) {
  auto head = BlockReader(text).header();
  if (head.wall_time != Nanos{}) return head;
  head.wall_time = named_wall(file);
  BlockReader blocks(text);
  if (const auto block = blocks.next()) head.clock_time = block->header.first;
  return head;
}

struct Found {
  FileHeader header;
  std::string path, name;
};

bool same_text(const Found& a, const Found& b) {
  if (a.header.wall_time != b.header.wall_time || a.header.number != b.header.number) return false;
  std::error_code error;
  return fs::file_size(a.path, error) == fs::file_size(b.path, error) &&
         read_file(a.path) == read_file(b.path);
}

}  // namespace

std::vector<std::string> list_files(const std::vector<std::string>& paths) {
  std::vector<Found> found;
  for (const auto& path : paths) {
    std::error_code error;
    if (!fs::is_directory(path, error)) {
      found.push_back({head_of(path), path, fs::path(path).filename().string()});
      continue;
    }
    const auto before = found.size();
    for (const auto& entry : fs::directory_iterator(path)) {
      if (entry.path().extension() == ".rec")
        found.push_back({head_of(entry.path()), entry.path(), entry.path().filename().string()});
    }
    if (found.size() == before) throw net::Error("there is no record in " + path);
  }
  std::sort(found.begin(), found.end(), [](const Found& a, const Found& b) {
    return std::tie(a.header.wall_time, a.header.number, a.name, a.path) <
           std::tie(b.header.wall_time, b.header.number, b.name, b.path);
  });
  found.erase(std::unique(found.begin(), found.end(), same_text), found.end());
  std::vector<std::string> files;
  for (auto& file : found) files.push_back(std::move(file.path));
  return files;
}

std::string read_file(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  if (!stream) throw net::Error("cannot read " + file);
  // Nothing to copy is no failure: a disk that was full leaves files without a byte.
  text << stream.rdbuf();
  if (stream.bad()) throw net::Error("cannot read " + file);
  return std::move(text).str();
}

namespace {

// The window on a file's own clock.
TimeWindow local(const TimeWindow& window, const FileHeader& first, const FileHeader& head) {
  const Nanos shift = head.clock_time - (head.wall_time - first.wall_time);
  return {window.from + shift, window.to == Nanos::max() ? window.to : window.to + shift};
}

}  // namespace

Corruption visit_record(const std::vector<std::string>& files, const TimeWindow& window,
                        RecordVisitor& visitor) {
  Corruption corruption;
  kept::Block block;
  std::optional<FileHeader> first;
  for (const auto& file : files) {
    const auto whole = read_file(file);
    BlockReader blocks(whole);
    const auto head = whole_head(file, whole);
    if (!first) first = head;
    visitor.on_file(head);
    if (window.from > Nanos{} || window.to < Nanos::max()) {
      const auto here = local(window, *first, head);
      blocks.restrict_to(here.from, here.to);
    }
    std::size_t damaged = 0;
    while (const auto found = blocks.next()) {
      if (found->header.lost > 0 || blocks.corrupt_stretches() > damaged) visitor.on_gap(found->header.lost);
      damaged = blocks.corrupt_stretches();
      corruption.lost_entries += found->header.lost;
      if (!block.ParseFromString(found->payload)) {
        ++corruption.corrupt_stretches;
        visitor.on_gap(0);
        continue;
      }
      for (const auto& entry : block.entries()) visitor.on_entry(entry);
    }
    // What a death left unfinished at the end of a file is followed by another start, or by nothing.
    corruption.corrupt_stretches += blocks.corrupt_stretches();
  }
  return corruption;
}

Corruption visit_record(const std::vector<std::string>& files, RecordVisitor& visitor) {
  return visit_record(files, {}, visitor);
}

}  // namespace ospreypost::record
