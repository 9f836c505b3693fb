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

constexpr std::size_t kMostHead = 64;  // bytes, more than any file's head

// Before schema 2, and where the head is damaged, the time stands in the name alone.
Nanos named_wall(const std::string& file) { return time_in_name(fs::path(file).stem().string()); }

// The head of a file, from its first bytes alone.
FileHead head_of(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string text(kMostHead, '\0');
  if (!stream) throw net::Error("cannot read " + file);
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  try {
    auto head = Blocks(text).head();
    if (head.wall == Nanos{}) head.wall = named_wall(file);
    return head;
  } catch (const net::Error& error) {
    throw net::Error(file + ": " + error.what());
  }
}

FileHead whole_head(const std::string& file, const std::string& text) {
  auto head = Blocks(text).head();
  if (head.wall != Nanos{}) return head;
  head.wall = named_wall(file);
  Blocks blocks(text);
  if (const auto block = blocks.next()) head.at = block->head.first;
  return head;
}

struct Found {
  FileHead head;
  std::string path, name;
};

bool same_text(const Found& a, const Found& b) {
  if (a.head.wall != b.head.wall || a.head.number != b.head.number) return false;
  std::error_code error;
  return fs::file_size(a.path, error) == fs::file_size(b.path, error) && bytes_of(a.path) == bytes_of(b.path);
}

}  // namespace

std::vector<std::string> files_of(const std::vector<std::string>& paths) {
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
    return std::tie(a.head.wall, a.head.number, a.name, a.path) <
           std::tie(b.head.wall, b.head.number, b.name, b.path);
  });
  found.erase(std::unique(found.begin(), found.end(), same_text), found.end());
  std::vector<std::string> files;
  for (auto& file : found) files.push_back(std::move(file.path));
  return files;
}

std::string bytes_of(const std::string& file) {
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
Window local(const Window& window, const FileHead& first, const FileHead& head) {
  const Nanos shift = head.at - (head.wall - first.wall);
  return {window.from + shift, window.to == Nanos::max() ? window.to : window.to + shift};
}

}  // namespace

Corruption visit(const std::vector<std::string>& files, const Window& window, Visitor& visitor) {
  Corruption damage;
  kept::Block block;
  std::optional<FileHead> first;
  for (const auto& file : files) {
    const auto whole = bytes_of(file);
    Blocks blocks(whole);
    const auto head = whole_head(file, whole);
    if (!first) first = head;
    visitor.file(head);
    if (window.from > Nanos{} || window.to < Nanos::max()) {
      const auto here = local(window, *first, head);
      blocks.only(here.from, here.to);
    }
    std::size_t damaged = 0;
    while (const auto found = blocks.next()) {
      if (found->head.lost > 0 || blocks.damaged() > damaged) visitor.gap(found->head.lost);
      damaged = blocks.damaged();
      damage.lost += found->head.lost;
      if (!block.ParseFromString(found->payload)) {
        ++damage.damaged;
        visitor.gap(0);
        continue;
      }
      for (const auto& entry : block.entries()) visitor.entry(entry);
    }
    // What a death left unfinished at the end of a file is followed by another start, or by nothing.
    damage.damaged += blocks.damaged();
  }
  return damage;
}

Corruption visit(const std::vector<std::string>& files, Visitor& visitor) {
  return visit(files, {}, visitor);
}

}  // namespace ospreypost::record
