// What stands before a proxy's folder: takes generations, verifies, stores and swaps them, and answers when
// the reader goes by them. Over HTTP:
//
//   PUT  /generation[?recall]    200 taken; 202 stored, but its reader has not confirmed; 400 it does not
//   fit;
//                                409 something newer was taken; 507 it cannot be stored
//   GET  /state                  what is stored, gone by and kept, in JSON
//   GET  /state?epoch=E&owner=O  the same; from whom the newest is, it is a sign of life
//   POST /rollback?version=N     200; 409 it is not kept, or would bring back a replica that must stay out;
//   the body may
//                                name more of them, as a JSON array
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

// What a folder and its reader are at; as /state says it.
struct State {
  GenerationId stored, applied;
  GenerationStore::Newest newest;    // as `stored`, but after a way back
  std::vector<std::string> instead;  // after a way back: the replicas of `stored`
  bool any = false;                  // something is stored
  bool stale = false;                // nobody who may order has spoken within the lease
  std::vector<GenerationId> kept;
};
std::string write_state(const State& state);
State read_state(const std::string& text);  // throws net::Error

// What became of a push.
enum class Delivery { taken, unconfirmed, older };

// A folder with the lease of its table and the word of its reader; used by the receiver, and by the governor
// for folders on its own host.
class GenerationShelf {
 public:
  GenerationShelf(std::string folder, std::size_t keep, bool reader_confirms,
                  std::function<void(const char*)> step = {});
  // Waits for the reader until the deadline. Throws net::Error if it cannot be stored.
  Delivery put(const Generation& generation, bool recall, net::Deadline until);
  // A sign of life: the lease runs anew if the newest is of that epoch and owner.
  void renew(std::uint64_t epoch, const std::string& owner);
  State state();
  // Throws net::Error saying why not.
  void roll_back(std::uint64_t version, const std::vector<std::string>& out);

 private:
  bool confirmed(const GenerationId& stamp) const;
  bool is_stale();

  GenerationStore folder_;
  const bool reader_confirms_;
  std::mutex lock_;
  // When a change of the sign was seen last: no wall clock, which may jump, and no matter which process left
  // it.
  net::Steady::time_point spoke_ = net::Steady::now();
  std::int64_t touched_ = 0;
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
  GenerationShelf shelf_;
  http::Server server_;
};

}  // namespace ospreypost::files
