/// Errors in reading or writing a record. All derive from `net::Error`, which callers catch.
#pragma once

#include <string>
#include <utility>

#include "net/socket.h"

namespace ospreypost::record {

/// A text is not a record, or is a record of a schema that this program cannot read.
class FormatError : public net::Error {
 public:
  FormatError(const std::string& message, std::string expected, std::string found, std::string path = {})
      : net::Error(path.empty() ? message : path + ": " + message),
        message_(message),
        expected_(std::move(expected)),
        found_(std::move(found)),
        path_(std::move(path)) {}

  const std::string& expected() const { return expected_; }
  const std::string& found() const { return found_; }
  /// Path of the file; empty if the text did not come from a file.
  const std::string& path() const { return path_; }
  /// Returns a copy of this error with the path of the file, which the new message starts with.
  FormatError in_file(const std::string& path) const { return {message_, expected_, found_, path}; }

 private:
  std::string message_;
  std::string expected_;
  std::string found_;
  std::string path_;
};

/// A file or folder cannot be read or written, is missing, or already exists.
class StorageError : public net::Error {
 public:
  StorageError(const std::string& message, std::string path) : net::Error(message), path_(std::move(path)) {}
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace ospreypost::record
