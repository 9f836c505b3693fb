// Generations in folders: the current generation is intact at any moment, also when a process exits or the
// file system fails during a push; which owner may store generations; what a reader gets.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "fakes/tables.h"
#include "files/receiver.h"
#include "files/render.h"
#include "program/support.h"

namespace ospreypost::files {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

using test::TemporaryFolder;

Generation generation(std::uint64_t version, std::vector<std::string> names = {"a", "b"},
                      std::uint64_t epoch = 1) {
  Generation made;
  made.stamp = {epoch, version};
  made.owner = "g" + std::to_string(epoch);
  made.lines = names.size();
  made.names = std::move(names);
  made.files["sign-job.json"] = std::string(1500, static_cast<char>('a' + version % 20));
  made.files["read-status.conf"] = "version " + std::to_string(version);
  return made;
}

TEST(Generation, RoundTripsAndNamesTheFault) {
  const auto text = write_generation(generation(7));
  EXPECT_EQ(read_generation(text).stamp, (GenerationId{1, 7}));
  const auto fault = [](const std::string& changed) {
    try {
      read_generation(changed);
    } catch (const net::Error& error) {
      return std::string(error.what());
    }
    return std::string("none");
  };
  EXPECT_EQ(fault(text.substr(0, text.size() / 2)), "the generation is truncated, or no JSON object");
  auto altered = text;
  altered[altered.find("aaaa") == std::string::npos ? altered.find("hhhh") : altered.find("aaaa")] = 'x';
  EXPECT_EQ(fault(altered), "the generation's checksum does not match its contents");
  for (const std::string name : {"../up.json", "a/b.json", "manifest.json", ".json", "x.sh"}) {
    auto climbing = generation(7);
    climbing.files[name] = "x";
    EXPECT_EQ(fault(write_generation(climbing)), "the generation's file '" + name + "' is not a plain name");
  }
}

// A process exits at each step of a push in turn. A reader then finds the old or the new generation intact,
// and the next push succeeds.
TEST(GenerationStore, IsIntactAfterAnExitAtAnyStep) {
  int steps = 0;
  for (int exit_at = 0;; ++exit_at) {
    TemporaryFolder folder_on_disk;
    GenerationStore(folder_on_disk.path, 3).store(generation(1));
    GenerationStore(folder_on_disk.path, 3).store(generation(2));
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      int step = 0;
      GenerationStore folder(folder_on_disk.path, 3, [&](const char*) {
        if (step++ == exit_at) ::_exit(9);
      });
      folder.store(generation(3));
      ::_exit(0);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    const auto found = read_current(folder_on_disk.path);
    ASSERT_TRUE(found);
    EXPECT_TRUE(found->stamp.version == 2 || found->stamp.version == 3) << exit_at;
    GenerationStore reopened(folder_on_disk.path, 3);
    reopened.store(generation(4));
    EXPECT_EQ(read_current(folder_on_disk.path)->stamp.version, 4U);
    EXPECT_LE(reopened.kept().size(), 3U);
    if (WEXITSTATUS(status) == 0) break;
    ++steps;
  }
  EXPECT_GT(steps, 12);
}

// A file system operation fails at each step of a push in turn. A reader then finds the old or the new
// generation intact.
TEST(GenerationStore, KeepsTheCurrentGenerationWhenTheFileSystemFails) {
  TemporaryFolder folder_on_disk;
  GenerationStore(folder_on_disk.path, 3).store(generation(1));
  bool failed = true;
  for (int fails_at = 0; failed; ++fails_at) {
    int step = 0;
    failed = false;
    GenerationStore folder(folder_on_disk.path, 3, [&](const char* what) {
      if (step++ != fails_at) return;
      failed = true;
      throw net::Error(std::string("no space left: ") + what);
    });
    const auto before = read_current(folder_on_disk.path)->stamp;
    const auto next = generation(before.version + 1);
    if (!failed) {
      try {
        folder.store(next);
      } catch (const net::Error&) {
      }
    }
    const auto found = read_current(folder_on_disk.path);
    ASSERT_TRUE(found);
    EXPECT_TRUE(found->stamp == before || found->stamp == next.stamp);
  }
}

TEST(GenerationStore, RefusesLowerEpochsAndOlderVersions) {
  TemporaryFolder folder_on_disk;
  GenerationStore folder(folder_on_disk.path, 3);
  EXPECT_EQ(folder.store(generation(5, {"a"}, 2)), StoreResult::swapped);
  EXPECT_EQ(folder.store(generation(5, {"a"}, 2)), StoreResult::same);
  EXPECT_EQ(folder.store(generation(9, {"a"}, 1)), StoreResult::older);
  EXPECT_EQ(folder.store(generation(4, {"a"}, 2)), StoreResult::older);
  EXPECT_EQ(folder.store(generation(1, {"a"}, 3)), StoreResult::swapped);
  EXPECT_EQ(folder.current()->stamp, (GenerationId{3, 1}));
}

TEST(GenerationStore, AcceptsOneOwnerInEachEpoch) {
  TemporaryFolder folder_on_disk;
  GenerationStore folder(folder_on_disk.path, 3);
  folder.store(generation(5));
  auto other = generation(6);
  other.owner = "another";
  EXPECT_EQ(folder.store(other), StoreResult::older);
  EXPECT_EQ(folder.newest_owned()->owner, "g1");
  // Another owner is rejected also with the stamp of the stored generation, as its tables may differ.
  other.stamp.version = 5;
  EXPECT_EQ(folder.store(other), StoreResult::older);
  other.stamp.epoch = 2;
  EXPECT_EQ(folder.store(other), StoreResult::swapped);
  EXPECT_EQ(folder.newest_owned()->owner, "another");
}

TEST(GenerationStore, RollbackNeverRestoresAnExcludedReplica) {
  TemporaryFolder folder_on_disk;
  GenerationStore folder(folder_on_disk.path, 5);
  folder.store(generation(1, {"a", "b"}));
  folder.store(generation(2, {"a", "c"}));
  auto newest = generation(3, {"a"});
  newest.excluded = {"b"};
  folder.store(newest);
  EXPECT_THROW(folder.roll_back(1, {}), net::Error);
  EXPECT_THROW(folder.roll_back(8, {}), net::Error);
  EXPECT_THROW(folder.roll_back(2, {"c"}), net::Error);
  folder.roll_back(2, {});
  EXPECT_EQ(folder.current()->stamp.version, 2U);
  // Storing the newest generation again without `recall` does not undo the rollback. The replicas that the
  // newest generation excludes stay excluded.
  EXPECT_EQ(folder.store(newest), StoreResult::older);
  EXPECT_EQ(folder.store(newest, true), StoreResult::swapped);
  EXPECT_EQ(folder.current()->stamp.version, 3U);
  folder.roll_back(2, {});
  EXPECT_THROW(folder.roll_back(1, {}), net::Error);
  EXPECT_EQ(folder.store(generation(4, {"a"})), StoreResult::swapped);
  EXPECT_EQ(folder.current()->stamp.version, 4U);
}

// --- The file formats, read by code that shares nothing with the renderer

std::vector<Endpoint> endpoints() {
  return {{"u-1", "east", {"127.0.0.1", 9001}, 1.0},
          {"u-2", "west", {"::1", 9002}, 0.2},
          {"u-3", "east", {"127.0.0.3", 9003}, 1e-9}};
}

std::map<std::string, int> weights_in(const fakes::Resolved& table) {
  std::map<std::string, int> weights;
  for (const auto& target : table.targets) weights[target.name + "@" + target.address.text()] = target.weight;
  return weights;
}

TEST(Render, BothFormatsHoldEveryEntryAndTheTerms) {
  const std::map<std::string, int> expected{
      {"u-1@127.0.0.1:9001", 1000}, {"u-2@[::1]:9002", 200}, {"u-3@127.0.0.3:9003", 1}};
  const Terms terms{12, 0.75, "none"};
  for (const auto& table : {fakes::read_envoy(render_envoy("sign-job", endpoints(), terms)),
                            fakes::read_upstream(render_upstream("sign-job", endpoints(), terms))}) {
    EXPECT_EQ(table.kind, fakes::Resolved::Kind::answer);
    EXPECT_EQ(weights_in(table), expected);
    EXPECT_EQ(table.version, 12U);
    EXPECT_DOUBLE_EQ(table.level, 0.75);
  }
  const auto response = nlohmann::json::parse(render_envoy("sign-job", endpoints(), terms));
  const auto& resource = response["resources"][0];
  EXPECT_EQ(resource["@type"], "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment");
  for (const auto& locality : resource["endpoints"]) {
    int sum = 0;
    for (const auto& line : locality["lb_endpoints"]) sum += line["load_balancing_weight"].get<int>();
    EXPECT_EQ(locality["load_balancing_weight"], sum);
  }
}

TEST(Render, AnEmptyTableIsValid) {
  EXPECT_TRUE(fakes::read_envoy(render_envoy("x", {}, {})).targets.empty());
  const auto upstream = render_upstream("x", {}, {});
  EXPECT_EQ(fakes::read_upstream(upstream).kind, fakes::Resolved::Kind::answer);
  EXPECT_TRUE(fakes::read_upstream(upstream).targets.empty());
  // nginx rejects an upstream block without a server.
  EXPECT_NE(upstream.find(" down;"), std::string::npos);
}

// --- The lease

TEST(LeasedStore, OnlyTheOwnerRenewsTheLease) {
  TemporaryFolder folder_on_disk;
  LeasedStore store(folder_on_disk.path.string(), 3, false);
  auto leased = generation(1);
  leased.lease_ms = 60;
  store.put(leased, false, net::Steady::now());
  EXPECT_FALSE(store.state().stale);
  const auto stale_after = [&](auto renew) {
    const auto end = net::Steady::now() + 150ms;
    while (net::Steady::now() < end) {
      renew();
      std::this_thread::sleep_for(5ms);
      if (store.state().stale) return true;
    }
    return false;
  };
  EXPECT_TRUE(stale_after([&] { store.renew(1, "another"); }));
  // A second store on the same folder, as another process has, can renew the lease too.
  LeasedStore other(folder_on_disk.path.string(), 3, false);
  EXPECT_FALSE(other.state().stale);
  other.renew(1, "g1");
  EXPECT_FALSE(store.state().stale);
}

// --- The receiver

TEST(Receiver, AnswersWithTheResultOfAPush) {
  TemporaryFolder folder_on_disk;
  Receiver receiver({{"127.0.0.1", 0}, folder_on_disk.path.string(), 3, true, 50ms});
  const auto send = [&](const std::string& method, const std::string& target, const std::string& body) {
    return http::fetch(receiver.address(), {method, target, "", "", body, true}, http::kMaxStatusBytes,
                       net::Steady::now() + 2s);
  };
  EXPECT_FALSE(read_state(send("GET", "/state", "").body).any);
  // The reader has not confirmed yet.
  EXPECT_EQ(send("PUT", "/generation", write_generation(generation(1))).status, 202U);
  std::ofstream(folder_on_disk.path / "applied") << "1 1";
  EXPECT_EQ(send("PUT", "/generation", write_generation(generation(1))).status, 200U);
  EXPECT_EQ(send("PUT", "/generation", "{").status, 400U);
  EXPECT_EQ(send("PUT", "/generation", write_generation(generation(9, {"a"}, 0))).status, 409U);
  EXPECT_EQ(send("GET", "/state?epoch=x", "").status, 400U);
  EXPECT_EQ(send("POST", "/rollback?version=x", "").status, 400U);
  EXPECT_EQ(send("POST", "/rollback?version=7", "").status, 409U);
  EXPECT_EQ(send("POST", "/rollback?version=1", "{").status, 400U);
  EXPECT_EQ(send("PUT", "/generation?recall", "{").status, 400U);
  const auto state = read_state(send("GET", "/state", "").body);
  EXPECT_EQ(state.applied, (GenerationId{1, 1}));
  EXPECT_EQ(state.kept.size(), 1U);
  fs::remove_all(folder_on_disk.path);
  std::ofstream(folder_on_disk.path) << "a file where the folder was";
  EXPECT_EQ(send("PUT", "/generation", write_generation(generation(2))).status, 507U);
}

std::string put_request(std::uint64_t version) {
  const auto body = write_generation(generation(version));
  return "PUT /generation HTTP/1.1\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a push that takes effect after its sender has given it up, and may have sent another.
TEST(Receiver, IgnoresAPushWhoseSenderHasLeft) {
  TemporaryFolder folder_on_disk;
  Receiver receiver({{"127.0.0.1", 0}, folder_on_disk.path.string(), 3, true, 10s});
  const auto newest_version = [&] {
    const auto answer = http::fetch(receiver.address(), {"GET", "/state", "", "", "", true},
                                    http::kMaxStatusBytes, net::Steady::now() + 2s);
    return read_state(answer.body).newest.stamp.version;
  };
  {
    const auto sender = net::connect(receiver.address(), net::Steady::now() + 2s);
    net::write_fully(sender, put_request(1) + put_request(2), net::Steady::now() + 2s);
    while (newest_version() != 1) std::this_thread::yield();
  }
  std::ofstream(folder_on_disk.path / "applied") << "1 1";  // ends the first push
  for (int attempts = 0; attempts < 100; ++attempts) ASSERT_EQ(newest_version(), 1U);
}

}  // namespace
}  // namespace ospreypost::files
