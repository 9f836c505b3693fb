// Receives generations for a proxy's folder: verifies and stores a generation, makes it current, and answers
// once the reader uses the generation. Over HTTP:
//
//   PUT  /generation[?recall]    200 accepted; 202 stored, but the reader has not confirmed; 400 malformed;
//                                409 a newer generation was accepted; 507 the generation cannot be stored
//   GET  /state                  the stored, applied and kept generations, in JSON
//   GET  /state?epoch=E&owner=O  the same; renews the lease if the newest generation has this epoch and owner
//   POST /rollback?version=N     200; 409 the version is not kept, or lists an excluded replica;
//                                the body may name more excluded replicas, as a JSON array
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "files/generation_store.h"
#include "http/http.h"

namespace ospreypost::files {

struct ReceiverOptions {
  net::Address listen;
  std::string folder;
  std::size_t keep = 5;
  bool reader_confirms = true;
  net::Steady::duration confirm_within = std::chrono::milliseconds(800);
};

// State of a folder and its reader, as GET /state returns it.
struct State {
  GenerationId stored, applied;
  GenerationStore::Newest newest;    // equals `stored`, except after a rollback
  std::vector<std::string> instead;  // after a rollback: the replicas that `stored` lists
  bool any = false;                  // a generation is stored, intact or not
  bool stale = false;                // the owner has not renewed the lease in time
  std::vector<GenerationId> kept;
};
std::string write_state(const State& state);
State read_state(const std::string& text);  // throws net::Error

// Result of a push.
enum class Delivery { accepted, unconfirmed, older };

// A generation store with the lease of its tables and the confirmations of its reader. Used by the receiver,
// and by the control plane instance for folders on its own host.
class LeasedStore {
 public:
  LeasedStore(std::string folder, std::size_t keep, bool reader_confirms,
              std::function<void(const char*)> step = {});
  // Stores a generation, then waits until the deadline for the reader to use it. Throws net::Error if the
  // generation cannot be stored.
  Delivery put(const Generation& generation, bool recall, net::Deadline deadline);
  // Renews the lease if the newest generation has this epoch and owner.
  void renew(std::uint64_t epoch, const std::string& owner);
  State state();
  // Makes a kept version current again. Throws net::Error with the reason if that is rejected.
  void roll_back(std::uint64_t version, const std::vector<std::string>& excluded);

 private:
  bool is_applied(const GenerationId& stamp) const;
  bool is_stale();

  GenerationStore store_;
  const bool reader_confirms_;
  std::mutex lock_;
  // Time at which this process last noticed a renewal by any process. Steady time, since the wall clock may
  // jump.
  net::Steady::time_point last_renewal_ = net::Steady::now();
  std::int64_t last_lease_file_time_ = 0;
  std::chrono::milliseconds lease_{0};
};

class Receiver {
 public:
  explicit Receiver(const ReceiverOptions& options);
  net::Address address() const { return server_.address(); }
  void stop() { server_.stop(); }

 private:
  http::Response answer(const http::Request& request);

  const ReceiverOptions options_;
  LeasedStore store_;
  http::Server server_;
};

}  // namespace ospreypost::files
