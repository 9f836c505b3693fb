// A control plane or a receiver in a child process that the scenario starts and ends.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/socket.h"

namespace ospreypost::scenario {

class ChildProcess {
 public:
  // Starts the program with these arguments and waits for its line "ready". Throws net::Error if that line
  // doesn't come in time.
  ChildProcess(const std::string& program, std::vector<std::string> arguments);
  ~ChildProcess() { kill(); }
  // Makes each write of the process to a file fail (`full`), as on a full disk, or succeed again.
  void fill_disk(bool full);
  // Suspends or resumes the process (SIGSTOP, SIGCONT).
  void pause(bool paused);
  // Kills the process with SIGKILL, so that it can't clean up, as after a loss of power.
  void kill();
  // Ends the process with SIGTERM and returns the time until it exited. Throws net::Error if its exit status
  // isn't 0.
  net::Steady::duration stop();

 private:
  int wait_for_exit();

  pid_t process_ = -1;
};

}  // namespace ospreypost::scenario
