// Reads XML and validates it against a schema that ships with the program, using libxml2.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::config {

// The message has a line for each fault, with the file, the line, the element and what was expected.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An element of a validated document. Valid for the lifetime of the document.
class Element {
 public:
  explicit Element(void* node) : node_(node) {}
  std::string name() const;
  int line() const;
  // Returns the attribute's text, or its default from the schema. Throws ConfigError if there is neither.
  std::string text(const char* attribute) const;
  std::optional<std::string> find(const char* attribute) const;
  double number(const char* attribute) const;
  bool yes(const char* attribute) const;
  Nanos time(const char* attribute) const;
  std::vector<std::string> words(const char* attribute) const;
  // Returns the first child element of a name. Throws ConfigError if there is none.
  Element child(const char* name) const;
  std::optional<Element> find_child(const char* name) const;
  std::vector<Element> children() const;
  void set(const char* attribute, const std::string& value) const;
  [[noreturn]] void fail(const std::string& what) const;

 private:
  void* node_;
};

class Document {
 public:
  // Throws ConfigError if the text is malformed, invalid or longer than 16 MiB. `label` names the source in
  // messages.
  Document(std::string_view text, const std::string& label, std::string_view schema);
  ~Document();
  Element root() const;
  // Returns the document as XML, with the changes made by Element::set and the schema's defaults.
  std::string text() const;

 private:
  struct Parsed;
  std::unique_ptr<Parsed> parsed_;
};

// Throws ConfigError if the file cannot be read or is empty.
std::string read_file(const std::string& path);

// Parses a duration such as "250 ms" or "1.5 s"; returns empty if the text is not a duration.
std::optional<Nanos> parse_duration(std::string_view text);

}  // namespace ospreypost::config
