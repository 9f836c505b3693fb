// Faults that a scenario can set on a fake replica.
#pragma once

namespace ospreypost::fakes {

enum class Fault {
  none,
  hang,         // receives operations and never answers them
  refuse,       // closes each connection before it reads from it
  fast_errors,  // answers a fraction of the operations with an error at once
  slow,         // each operation takes longer by a factor
  pause,        // stops working; operations in progress continue when the fault ends
  silent,       // executes operations and sends no answers
};

}  // namespace ospreypost::fakes
