// Lets one thread cancel the socket waits of another thread. Also cancels the wait of a connect() call, whose
// socket is not connected yet and therefore cannot be shut down.
#pragma once

#include "net/socket.h"

namespace ospreypost::net {

class CancellationEvent {
 public:
  // Throws Error if the system cannot create the event descriptor.
  CancellationEvent();
  // Makes all current waits with this event throw Error, and all later waits until clear() is called.
  // May be called from any thread.
  void set();
  void clear();
  int descriptor() const { return event_.get(); }

 private:
  Socket event_;
};

}  // namespace ospreypost::net
