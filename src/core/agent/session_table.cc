#include "src/core/agent/session_table.h"

namespace cactuscross {

SessionTable::~SessionTable() {
  for (auto& [key, resource] : this->resources) {
    resource.observers.clear();
  }
}

Session& SessionTable::Add(const SessionKey& key,
                           const ResourceKey& resource_key) {
  Resource& resource = this->resources[resource_key];
  resource.key = resource_key;
  Session& session = this->sessions[key];
  session.key = key;
  session.resource = &resource;
  resource.observers.push_back(session);
  return session;
}

Session* SessionTable::Find(const SessionKey& key) {
  const auto found = this->sessions.find(key);
  return found == this->sessions.end() ? nullptr : &found->second;
}

Session* SessionTable::FindByMessage(const Endpoint& caller,
                                     std::uint16_t message_id) {
  auto it = this->sessions.lower_bound({caller, {}});
  for (; it != this->sessions.end() && it->first.first == caller; ++it) {
    if (it->second.last_message_id == message_id) {
      return &it->second;
    }
  }
  return nullptr;
}

void SessionTable::Erase(Session& session) {
  Resource& resource = *session.resource;
  resource.observers.erase(Resource::Observers::s_iterator_to(session));
  const bool unused = resource.observers.empty() && !resource.poll;
  const ResourceKey resource_key = resource.key;
  this->sessions.erase(SessionKey(session.key));
  if (unused) {
    this->resources.erase(resource_key);
  }
}

}  // namespace cactuscross
