// Helpers shared by tests of the program: a small configuration and temporary folders.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <string>

#include "config/config.h"

namespace ospreypost::test {

// A configuration with two zones, two request classes and three proxies.
// The port numbers 0 let the system choose free ports.
inline std::string small_config_text() {
  return R"(<governor name="test" zone="east">
  <zones><zone name="east"/><zone name="west"/></zones>
  <classes>
    <class name="read-status" effect="idempotent" target-time="1 s" abandon-time="3 s" payoff="1"/>
    <class name="sign-job" effect="at-most-once" target-time="1 s" abandon-time="2 s" payoff="4"/>
  </classes>
  <limits>
    <drain grace="3 s"/>
    <bare longest="5 s"/>
    <channel lines-per-second="5000" most-waiting="10000" message-head="6" transit="100 ms"/>
    <messages allowed="12" window="10 s"/>
    <cold share="0.25" time="8 s" fall-multiple="2.5" fall-time="3 s"/>
  </limits>
  <proxies>
    <proxy name="forwarder-1" zone="east" usual-rate="10" entry="127.0.0.1:7001" vouched="true"/>
    <proxy name="forwarder-2" zone="west" usual-rate="10" entry="127.0.0.1:7002" vouched="true"/>
    <proxy name="forwarder-3" zone="west" usual-rate="10"/>
  </proxies>
  <reports listen="127.0.0.1:0" every="1 s" load="in-sums" columns="util"/>
  <roll path="/nonexistent/roll.json"/>
  <dns listen="127.0.0.1:0" apex="farm.example." server-name="ns.farm.example." answers-per-second="100000"/>
  <record keep="false"/>
</governor>)";
}

inline config::Config small_config() { return config::parse_config(small_config_text(), "small"); }

// Returns `text` with the first occurrence of `from` replaced by `to`.
inline std::string replace_first(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Creates a temporary folder, and removes it with its contents when destroyed.
struct TemporaryFolder {
  TemporaryFolder() {
    auto pattern = (std::filesystem::temp_directory_path() / "ospreypost-test-XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::string in(const std::string& name) const { return (path / name).string(); }
  std::filesystem::path path;
};

}  // namespace ospreypost::test
