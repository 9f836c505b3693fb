// Runs controllers for the external simulator: decodes the records of a batch into calls on the controllers,
// and encodes the controllers' actions into one reply frame.
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
  // Handles one complete batch, including its header. The returned reply frame stays valid until the next
  // call. Throws simulator::ProtocolError if the batch does not conform to the protocol.
  std::span<const std::byte> answer(std::span<const std::byte> frame);

 private:
  struct Instance;
  void handle(simulator::EventCode code, simulator::FieldReader& fields, std::uint32_t instance, Nanos now);
  void call_controller(Controller& controller, simulator::EventCode code, simulator::FieldReader& fields,
                       Nanos now);

  simulator::ReplyFrame reply_;
  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
};

// Reads batches from the descriptor `input` and writes their replies to the descriptor `output`, until the
// input ends.
void serve(int input, int output);

}  // namespace ospreypost
