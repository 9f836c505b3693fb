#include "replay/anonymise.h"

#include <map>

#include "config/xml.h"
#include "record.pb.h"
#include "record/edit.h"
#include "schemas.h"

namespace ospreypost::replay {
namespace {

// The same word for the same name, in the order in which names come.
class Words {
 public:
  const std::string& operator()(const std::string& kind, const std::string& name) {
    auto& known = words_[kind];
    const auto at = known.find(name);
    if (at != known.end()) return at->second;
    return known.emplace(name, kind + "-" + std::to_string(known.size() + 1)).first->second;
  }

 private:
  std::map<std::string, std::map<std::string, std::string>> words_;
};

class Anonymising : public record::RecordVisitor {
 public:
  explicit Anonymising(record::RecordCopier& copy) : copy_(copy) {}

  void on_file(const record::FileHeader& head) override { copy_.begin_file(head); }
  void on_gap(std::uint64_t lost) override { copy_.mark_lost(std::max<std::uint64_t>(lost, 1)); }
  void on_entry(const kept::Entry& entry) override {
    auto changed = entry;
    if (changed.has_begin()) {
      auto& begin = *changed.mutable_begin();
      begin.set_configuration(configuration(begin.configuration()));
    }
    if (changed.has_named()) changed.mutable_named()->set_name(words_("replica", changed.named().name()));
    copy_.append(changed);
  }

 private:
  void rename(const config::Element& element, const char* attribute, const char* kind) {
    if (const auto name = element.find(attribute)) element.set(attribute, words_(kind, *name));
  }
  void rename_list(const config::Element& element, const char* attribute, const char* kind) {
    if (!element.find(attribute)) return;
    std::string list;
    for (const auto& name : element.words(attribute)) list += (list.empty() ? "" : " ") + words_(kind, name);
    element.set(attribute, list);
  }
  // Ports tell little, and must differ where they did.
  void hide_address(const config::Element& element, const char* attribute) {
    const auto address = element.find(attribute);
    if (!address) return;
    const auto number = std::stoul(words_("address", *address).substr(8));
    element.set(attribute, "127.0." + std::to_string(number / 200 % 200) + "." +
                               std::to_string(1 + number % 200) + ":" + std::to_string(7000 + number % 1000));
  }

  std::string configuration(const std::string& text) {
    const config::Document document(text, "the recorded configuration", config::kGovernorSchema);
    const auto root = document.root();
    rename(root, "name", "governor");
    rename(root, "zone", "zone");
    for (const auto& [list, kind] : {std::pair("zones", "zone"), std::pair("kinds", "kind")}) {
      if (const auto names = root.find_child(list)) {
        for (const auto& element : names->children()) rename(element, "name", kind);
      }
    }
    for (const auto& cls : root.child("classes").children()) {
      rename(cls, "name", "class");
      rename_list(cls, "only-zones", "zone");
      rename_list(cls, "only-kinds", "kind");
    }
    for (const auto& proxy : root.child("proxies").children()) {
      rename(proxy, "name", "proxy");
      rename(proxy, "zone", "zone");
      hide_address(proxy, "entry");
      hide_address(proxy, "receiver");
      rename(proxy, "folder", "folder");
    }
    hide_address(root.child("reports"), "listen");
    hide_address(root.child("dns"), "listen");
    root.child("dns").set("apex", "example.");
    root.child("dns").set("server-name", "governor.example.");
    root.child("roll").set("path", "roll.json");
    if (const auto record = root.find_child("record")) record->set("folder", "record");
    if (const auto logging = root.find_child("logging")) logging->set("path", "governor.log");
    return without_comments(document.text());
  }

  // They may name anything.
  static std::string without_comments(std::string text) {
    for (auto at = text.find("<!--"); at != std::string::npos; at = text.find("<!--", at)) {
      const auto end = text.find("-->", at);
      text.erase(at, end == std::string::npos ? end : end + 3 - at);
    }
    return text;
  }

  record::RecordCopier& copy_;
  Words words_;
};

}  // namespace

void anonymise(const std::vector<std::string>& files, const std::string& folder) {
  record::RecordCopier copy(folder);
  Anonymising anonymising(copy);
  record::visit_record(files, anonymising);
  copy.close();
}

}  // namespace ospreypost::replay
