#include "config/xml.h"

#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlschemas.h>

#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace ospreypost::config {
namespace {

constexpr std::size_t kMaxBytes = std::size_t{16} << 20;

struct Faults {
  std::string label, text;
  int count = 0;
};

void record_error(void* context, xmlErrorPtr error) {
  constexpr int max_listed = 20;  // maximum number of faults listed in the message
  auto& faults = *static_cast<Faults*>(context);
  if (++faults.count > max_listed) return;
  std::string message = error->message ? error->message : "unreadable";
  while (!message.empty() && (message.back() == '\n' || message.back() == ' ')) message.pop_back();
  if (!faults.text.empty()) faults.text += '\n';
  faults.text += faults.label + ":" + std::to_string(error->line) + ": " + message;
}

// Sets the error handler of libxml2, which is kept per thread, and resets it at the end of the scope.
class ErrorHandlerScope {
 public:
  explicit ErrorHandlerScope(Faults& faults) { xmlSetStructuredErrorFunc(&faults, record_error); }
  ~ErrorHandlerScope() { xmlSetStructuredErrorFunc(nullptr, nullptr); }
  ErrorHandlerScope(const ErrorHandlerScope&) = delete;
  ErrorHandlerScope& operator=(const ErrorHandlerScope&) = delete;
};

template <auto free_function>
struct Deleter {
  template <typename T>
  void operator()(T* resource) const {
    free_function(resource);
  }
};

xmlNodePtr node_of(void* node) { return static_cast<xmlNodePtr>(node); }

const xmlChar* chars(const char* text) { return reinterpret_cast<const xmlChar*>(text); }

}  // namespace

struct Document::Parsed {
  std::unique_ptr<xmlDoc, Deleter<xmlFreeDoc>> document;
  std::string label;
};

Document::Document(std::string_view text, const std::string& label, std::string_view schema)
    : parsed_(std::make_unique<Parsed>()) {
  if (text.size() > kMaxBytes) throw ConfigError(label + ": longer than 16 MiB");
  Faults faults{label, {}};
  const ErrorHandlerScope error_handler(faults);
  // Loads nothing from the network and no external entities. The parser's own limits on the expansion of
  // entities stay on.
  parsed_->document.reset(xmlReadMemory(text.data(), static_cast<int>(text.size()), label.c_str(), nullptr,
                                        XML_PARSE_NONET | XML_PARSE_BIG_LINES));
  if (!parsed_->document) throw ConfigError(faults.text.empty() ? label + ": no XML" : faults.text);
  parsed_->document->_private = &parsed_->label;
  parsed_->label = label;
  const std::unique_ptr<xmlSchemaParserCtxt, Deleter<xmlSchemaFreeParserCtxt>> schema_parser(
      xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size())));
  const std::unique_ptr<xmlSchema, Deleter<xmlSchemaFree>> parsed_schema(xmlSchemaParse(schema_parser.get()));
  if (!parsed_schema) throw ConfigError("the built-in schema is invalid: " + faults.text);
  const std::unique_ptr<xmlSchemaValidCtxt, Deleter<xmlSchemaFreeValidCtxt>> validator(
      xmlSchemaNewValidCtxt(parsed_schema.get()));
  xmlSchemaSetValidStructuredErrors(validator.get(), record_error, &faults);
  xmlSchemaSetValidOptions(validator.get(), XML_SCHEMA_VAL_VC_I_CREATE);  // adds the schema's default values
  if (xmlSchemaValidateDoc(validator.get(), parsed_->document.get()) != 0 || faults.count > 0)
    throw ConfigError(faults.text.empty() ? label + ": does not match the schema" : faults.text);
}

Document::~Document() = default;

Element Document::root() const { return Element(xmlDocGetRootElement(parsed_->document.get())); }

std::string Document::text() const {
  xmlChar* bytes = nullptr;
  int size = 0;
  xmlDocDumpMemory(parsed_->document.get(), &bytes, &size);
  std::string text(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
  xmlFree(bytes);
  return text;
}

std::string Element::name() const { return reinterpret_cast<const char*>(node_of(node_)->name); }

int Element::line() const { return static_cast<int>(xmlGetLineNo(node_of(node_))); }

std::optional<std::string> Element::find(const char* attribute) const {
  const std::unique_ptr<xmlChar, void (*)(void*)> value(xmlGetProp(node_of(node_), chars(attribute)),
                                                        [](void* it) { xmlFree(it); });
  if (!value) return std::nullopt;
  return std::string(reinterpret_cast<const char*>(value.get()));
}

std::string Element::text(const char* attribute) const {
  auto value = find(attribute);
  if (!value) fail(std::string("has no ") + attribute);
  return *std::move(value);
}

double Element::number(const char* attribute) const {
  const auto value = text(attribute);
  double number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(number))
    fail(std::string(attribute) + " '" + value + "' is not a number");
  return number;
}

bool Element::yes(const char* attribute) const {
  const auto value = text(attribute);
  return value == "true" || value == "1";
}

Nanos Element::time(const char* attribute) const {
  const auto value = text(attribute);
  const auto time = parse_duration(value);
  if (!time) fail(std::string(attribute) + " '" + value + "' is no duration such as \"250 ms\" or \"2 s\"");
  return *time;
}

void Element::set(const char* attribute, const std::string& value) const {
  xmlSetProp(node_of(node_), chars(attribute), chars(value.c_str()));
}

std::vector<std::string> Element::words(const char* attribute) const {
  std::istringstream text(find(attribute).value_or(""));
  std::vector<std::string> found;
  for (std::string word; text >> word;) found.push_back(word);
  return found;
}

std::vector<Element> Element::children() const {
  std::vector<Element> found;
  for (auto* child = node_of(node_)->children; child; child = child->next) {
    if (child->type == XML_ELEMENT_NODE) found.emplace_back(child);
  }
  return found;
}

std::optional<Element> Element::find_child(const char* name) const {
  for (const auto& child : children()) {
    if (child.name() == name) return child;
  }
  return std::nullopt;
}

Element Element::child(const char* name) const {
  const auto found = find_child(name);
  if (!found) fail(std::string("has no <") + name + ">");
  return *found;
}

void Element::fail(const std::string& what) const {
  const auto* label = static_cast<const std::string*>(node_of(node_)->doc->_private);
  throw ConfigError(*label + ":" + std::to_string(line()) + ": element '" + name() + "': " + what);
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError(path + ": cannot be read, or is empty");
  return text.str();
}

std::optional<Nanos> parse_duration(std::string_view text) {
  struct Unit {
    std::string_view name;
    double nanos;
  };
  constexpr std::array<Unit, 5> units{{{"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"min", 60e9}, {"h", 3600e9}}};
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || !(number >= 0) || number > 1e6) return std::nullopt;
  auto unit = text.substr(static_cast<std::size_t>(end - text.data()));
  if (unit.starts_with(' ')) unit.remove_prefix(1);
  for (const auto& known : units) {
    if (unit == known.name) return Nanos(std::llround(number * known.nanos));
  }
  return std::nullopt;
}

}  // namespace ospreypost::config
