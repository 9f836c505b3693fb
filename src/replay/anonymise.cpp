#include "replay/anonymise.h"

#include <algorithm>
#include <map>

#include "config/xml.h"
#include "record.pb.h"
#include "record/reader.h"
#include "record/record_copier.h"
#include "replay/pseudonyms.h"
#include "schemas.h"

namespace ospreypost::replay {
namespace {

using config::Element;

// Comments may contain any name, so all comments are removed.
std::string without_comments(std::string text) {
  constexpr std::string_view kCommentBegin = "<!--";
  constexpr std::string_view kCommentEnd = "-->";
  auto begin = text.find(kCommentBegin);
  while (begin != std::string::npos) {
    const auto end = text.find(kCommentEnd, begin);
    text.erase(begin, end == std::string::npos ? end : end + kCommentEnd.size() - begin);
    begin = text.find(kCommentBegin, begin);
  }
  return text;
}

class ConfigurationAnonymiser {
 public:
  explicit ConfigurationAnonymiser(Pseudonyms& pseudonyms) : pseudonyms_(pseudonyms) {}

  std::string anonymise(const std::string& text) {
    const config::Document document(text, "the recorded configuration", config::kGovernorSchema);
    const Element root = document.root();
    replace_name(root, "name", "governor");
    replace_name(root, "zone", "zone");
    replace_names_of_children(root, "zones", "zone");
    replace_names_of_children(root, "kinds", "kind");
    for (const auto& cls : root.child("classes").children()) anonymise_class(cls);
    for (const auto& proxy : root.child("proxies").children()) anonymise_proxy(proxy);
    anonymise_services(root);
    return without_comments(document.text());
  }

 private:
  void anonymise_class(const Element& cls) {
    replace_name(cls, "name", "class");
    replace_name_list(cls, "only-zones", "zone");
    replace_name_list(cls, "only-kinds", "kind");
  }

  void anonymise_proxy(const Element& proxy) {
    replace_name(proxy, "name", "proxy");
    replace_name(proxy, "zone", "zone");
    replace_address(proxy, "entry");
    replace_address(proxy, "receiver");
    replace_name(proxy, "folder", "folder");
  }

  void anonymise_services(const Element& root) {
    replace_address(root.child("reports"), "listen");
    replace_address(root.child("dns"), "listen");
    root.child("dns").set("apex", "example.");
    root.child("dns").set("server-name", "governor.example.");
    root.child("roll").set("path", "roll.json");
    if (const auto record = root.find_child("record")) record->set("folder", "record");
    if (const auto logging = root.find_child("logging")) logging->set("path", "governor.log");
  }

  void replace_name(const Element& element, const char* attribute, const char* kind) {
    if (const auto name = element.find(attribute)) element.set(attribute, pseudonyms_.name_for(kind, *name));
  }

  void replace_names_of_children(const Element& root, const char* list, const char* kind) {
    const auto names = root.find_child(list);
    if (!names) return;
    for (const auto& element : names->children()) replace_name(element, "name", kind);
  }

  void replace_name_list(const Element& element, const char* attribute, const char* kind) {
    if (!element.find(attribute)) return;
    std::string list;
    for (const auto& name : element.words(attribute)) {
      if (!list.empty()) list += " ";
      list += pseudonyms_.name_for(kind, name);
    }
    element.set(attribute, list);
  }

  void replace_address(const Element& element, const char* attribute) {
    if (const auto address = element.find(attribute))
      element.set(attribute, pseudonyms_.address_for(*address));
  }

  Pseudonyms& pseudonyms_;
};

class EntryAnonymiser : public record::RecordVisitor {
 public:
  explicit EntryAnonymiser(record::RecordCopier& copier) : copier_(copier) {}

  void on_file(const record::FileHeader& header) override { copier_.begin_file(header); }
  void on_gap(std::uint64_t lost_entries) override {
    copier_.mark_lost(std::max<std::uint64_t>(lost_entries, 1));
  }
  void on_entry(const kept::Entry& entry) override {
    kept::Entry anonymous_entry = entry;
    if (anonymous_entry.has_begin()) {
      auto& begin = *anonymous_entry.mutable_begin();
      begin.set_configuration(ConfigurationAnonymiser(pseudonyms_).anonymise(begin.configuration()));
    }
    if (anonymous_entry.has_named()) {
      auto& named = *anonymous_entry.mutable_named();
      named.set_name(pseudonyms_.name_for("replica", named.name()));
    }
    copier_.append(anonymous_entry);
  }

 private:
  record::RecordCopier& copier_;
  Pseudonyms pseudonyms_;
};

}  // namespace

void anonymise(const std::vector<std::string>& files, const std::string& folder) {
  record::RecordCopier copier(folder);
  EntryAnonymiser anonymiser(copier);
  record::visit_record(files, anonymiser);
  copier.close();
}

}  // namespace ospreypost::replay
