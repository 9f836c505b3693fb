// What a stand-in replica can be made to suffer.
#pragma once

namespace ospreypost::fakes {

enum class Fault {
  none,
  hang,         // takes operations and answers none
  refuse,       // closes each connection before it reads from it
  fast_errors,  // answers each operation with a failure at once
  slow,         // works, but so many times longer
  pause,        // stands still, and goes on where it was
  silent,       // does its work and says nothing of it
};

}  // namespace ospreypost::fakes
