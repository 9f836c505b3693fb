// Ends a wait from another thread, also one for a connection that is not up yet and has nothing to shut down.
#pragma once

#include "net/socket.h"

namespace ospreypost::net {

class CancellationEvent {
 public:
  // Throws Error if the system has no descriptor to give.
  CancellationEvent();
  // From any thread: all waits with it throw Error, until it is cleared.
  void set();
  void clear();
  int descriptor() const { return event_.get(); }

 private:
  Socket event_;
};

}  // namespace ospreypost::net
