/// An action sink that records the actions it receives, for tests of single parts of the decision module.
#pragma once

#include <string>
#include <vector>

#include "policy/action_sink.h"

namespace ospreypost::test {

class RecordingSink : public ActionHandler {
 public:
  std::vector<SetTableEntry> entries;
  std::vector<BindProxy> bindings;
  std::vector<SetEjected> ejections;
  std::vector<SetAdmittedFraction> fractions;
  std::vector<AckRequestId> requests;
  std::vector<std::string> logged;

 protected:
  using ActionHandler::handle;
  void handle(const SetTableEntry& action) override { entries.push_back(action); }
  void handle(const BindProxy& action) override { bindings.push_back(action); }
  void handle(const SetEjected& action) override { ejections.push_back(action); }
  void handle(const SetAdmittedFraction& action) override { fractions.push_back(action); }
  void handle(const RequestAcknowledgement& action) override { requests.push_back(action.request); }
  void handle(const LogLine& action) override { logged.emplace_back(action.text); }
};

}  // namespace ospreypost::test
