#ifndef CACTUSCROSS_SRC_CORE_AGENT_SESSION_TABLE_H_
#define CACTUSCROSS_SRC_CORE_AGENT_SESSION_TABLE_H_

// Open sessions (RFC 7641 observations) of one agent and the resources that
// they observe. Sessions on the same resource share one poll of the server.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/intrusive/list.hpp>

#include "src/core/agent/body_store.h"
#include "src/core/agent/replier.h"

namespace cactuscross {

// Path and query.
using ResourceKey = std::pair<std::string, std::string>;
// Caller and token.
using SessionKey = std::pair<Endpoint, Bytes>;

struct Resource;

// State of the handover of a session to another agent; see handover_system.h.
struct Handover {
  NodeId target = kNoNode;
  int attempts = 0;
  TimePoint next_attempt;
};

// An open session: one observation of a resource by a caller.
struct Session : boost::intrusive::list_base_hook<> {
  SessionKey key;
  Origin origin;
  Resource* resource = nullptr;
  std::uint32_t sequence = 0;                // last Observe value, 24 bits
  std::uint32_t epoch = 0;                   // increases with each handover
  std::uint32_t notifications = 0;           // sent so far, without responses
  std::optional<std::uint16_t> confirmable;  // message id that awaits its ACK
  std::uint16_t last_message_id = 0;
  TimePoint registered;
  TimePoint last_notified;
  bool answered = false;      // the response to the registration was sent
  bool acknowledged = false;  // an empty acknowledgement was sent before it
  // Set after a handover: only a state polled since then is sent, since the
  // former agent may have sent a newer state than the one known here.
  std::optional<TimePoint> poll_required_since;
  std::optional<Handover> handover;  // no notifications are sent while set
  std::set<NodeId> declined;         // agents that did not accept the session
};

// A resource of the backend server, with its last polled state.
struct Resource {
  using Observers = boost::intrusive::list<Session>;

  ~Resource() { this->observers.clear(); }

  ResourceKey key;
  BodyPtr body;  // null until the first successful poll
  CoapCode code = CoapCode::kContent;
  TimePoint last_polled;
  TimePoint next_poll;
  std::optional<CallId> poll;  // in flight
  TimePoint poll_began;
  TimePoint body_poll_began;  // start of the poll that last confirmed `body`
  Observers observers;
};

class SessionTable {
 public:
  ~SessionTable();

  Session& Add(const SessionKey& key, const ResourceKey& resource);
  Session* Find(const SessionKey& key);
  // Returns the session of `caller` whose last message had `message_id`, or
  // null.
  Session* FindByMessage(const Endpoint& caller, std::uint16_t message_id);
  void Erase(Session& session);

  std::map<SessionKey, Session>& All() { return this->sessions; }
  const std::map<SessionKey, Session>& All() const { return this->sessions; }
  std::map<ResourceKey, Resource>& Resources() { return this->resources; }
  std::size_t ResourceCount() const { return this->resources.size(); }
  std::size_t size() const { return this->sessions.size(); }
  bool empty() const { return this->sessions.empty(); }

 private:
  std::map<ResourceKey, Resource> resources;
  std::map<SessionKey, Session> sessions;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_SESSION_TABLE_H_
