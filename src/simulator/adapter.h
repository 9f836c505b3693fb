// Hosts governors: turns the records of a batch into calls and the governors' orders into one reply.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>

#include "policy/controller.h"
#include "simulator/codec.h"

namespace ospreypost {

class Adapter {
 public:
  Adapter();
  ~Adapter();
  // `frame` is one whole batch, header included; the reply stays valid until the next call.
  // Throws wire::Malformed if the batch does not fit the wire.
  std::span<const std::byte> answer(std::span<const std::byte> frame);

 private:
  struct Instance;
  void handle(simulator::EventCode code, simulator::FieldReader& fields, std::uint32_t who, Nanos now);
  void call(Controller& governor, simulator::EventCode code, simulator::FieldReader& fields, Nanos now);

  simulator::ReplyFrame reply_;
  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
};

// Serves batches from one descriptor to another until the input ends.
void serve(int input, int output);

}  // namespace ospreypost
