// Reads an XML file and checks it against a schema that ships with the program, by libxml2.
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

// The message names file, line, element and what would be right; one line for each fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One element of a checked document. Valid as long as the document lives.
class Element {
 public:
  explicit Element(void* node) : node_(node) {}
  std::string name() const;
  int line() const;
  // The attribute's text, or its default by the schema; throws Faulty where there is neither.
  std::string text(const char* attribute) const;
  std::optional<std::string> find(const char* attribute) const;
  double number(const char* attribute) const;
  bool yes(const char* attribute) const;
  Nanos time(const char* attribute) const;
  std::vector<std::string> words(const char* attribute) const;
  // Throws Faulty where there is none.
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
  // Throws Faulty. `label` names the source in messages; the text is at most 16 MiB long.
  Document(std::string_view text, const std::string& label, std::string_view schema);
  ~Document();
  Element root() const;
  // As it stands now, with the schema's defaults.
  std::string text() const;

 private:
  struct Parsed;
  std::unique_ptr<Parsed> parsed_;
};

// Throws Faulty if the file cannot be read.
std::string read_file(const std::string& path);

// "250 ms", "1.5 s"; empty if it is none.
std::optional<Nanos> parse_duration(std::string_view text);

}  // namespace ospreypost::config
