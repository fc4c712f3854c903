#ifndef CACTUSCROSS_SRC_CORE_AGENT_SERVER_CALLS_H_
#define CACTUSCROSS_SRC_CORE_AGENT_SERVER_CALLS_H_

// Sends an agent's calls to its backend server, tracks those in flight and
// measures how long each takes.

#include <map>

#include "src/core/agent/agent_context.h"

namespace cactuscross {

class ServerCalls {
 public:
  explicit ServerCalls(AgentContext& agent_context) : context(agent_context) {}

  // Sends `call` and stores the time of dispatch.
  void Start(ServerCall call) {
    // Hosts and ports can be reassigned to another service between two health
    // checks, so the identity of the server is checked on each connection.
    call.service = this->context.settings.service;
    this->context.server.RecordDispatch();
    this->dispatched[call.id] = this->context.now;
    this->context.outbox.server_calls.push_back(std::move(call));
  }

  void Cancel(CallId id) { this->context.outbox.server_cancels.push_back(id); }

  // Handles the result of a call. Returns false if the call is unknown.
  bool Finish(const ServerResult& result) {
    const auto found = this->dispatched.find(result.id);
    if (found == this->dispatched.end()) {
      return false;
    }
    const Duration elapsed = this->context.now - found->second;
    this->dispatched.erase(found);
    this->context.server.RecordResult(this->context.now, result, elapsed);
    return true;
  }

 private:
  AgentContext& context;
  std::map<CallId, TimePoint> dispatched;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_SERVER_CALLS_H_
