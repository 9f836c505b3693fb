// A governor or a receiver in a process of its own, started and ended by the day.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/socket.h"

namespace ospreypost::scenario {

class ChildProcess {
 public:
  // Starts the program with these words and waits until it says that it serves. Throws net::Error if it does
  // not.
  ChildProcess(const std::string& program, std::vector<std::string> words);
  ~ChildProcess() { kill(); }
  // From now on it cannot write a byte to any file; or it can again.
  void fill_disk(bool full);
  // Stands still, or goes on (SIGSTOP, SIGCONT).
  void pause(bool paused);
  // Outright, as a machine that loses its power.
  void kill();
  // Asks it to end; how long it took. Throws net::Error if its status was not 0.
  net::Steady::duration stop();

 private:
  int wait();

  pid_t process_ = -1;
};

}  // namespace ospreypost::scenario
