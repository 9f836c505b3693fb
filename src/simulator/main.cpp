#include <unistd.h>

#include <exception>
#include <iostream>

#include "simulator/adapter.h"

int main() {
  try {
    ospreypost::serve(STDIN_FILENO, STDOUT_FILENO);
  } catch (const std::exception& error) {
    std::cerr << "ospreypost_adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
