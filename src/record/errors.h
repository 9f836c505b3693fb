/// What can be wrong with a record. All derive from `net::Error`, which callers catch.
#pragma once

#include <string>
#include <utility>

#include "net/socket.h"

namespace ospreypost::record {

/// A text is no record, or one of a schema that this program does not read.
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
  /// The file; empty where the text came from none.
  const std::string& path() const { return path_; }
  /// The same error with the file that it is about, which then stands before the message.
  FormatError in_file(const std::string& path) const { return {message_, expected_, found_, path}; }

 private:
  std::string message_;
  std::string expected_;
  std::string found_;
  std::string path_;
};

/// A file or folder cannot be read or written, is missing, or is there already.
class StorageError : public net::Error {
 public:
  StorageError(const std::string& message, std::string path) : net::Error(message), path_(std::move(path)) {}
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace ospreypost::record
