#include "src/core/flow/view/reply_assembly.h"

#include <algorithm>

namespace cactuscross {

bool ReplyAssembly::IsPartOf(const GossipMessage& message) const {
  const ViewVersion& version = this->reply.view_version;
  // The servers may change while the routes are transferred, and the reverse.
  const bool same_contents =
      message.kind == GossipKind::kRoutes
          ? version.routes_version == message.view_version.routes_version &&
                this->reply.routes_after == message.routes_after
          : version.servers == message.view_version.servers &&
                this->reply.after == message.after;
  return same_contents && this->reply.sender == message.sender &&
         this->received.size() == message.part.count;
}

bool ReplyAssembly::Add(const GossipMessage& message) {
  if (!this->IsPartOf(message)) {
    this->reply = message;
    this->reply.routes.clear();
    this->reply.servers.clear();
    this->received.assign(message.part.count, false);
  }
  if (message.part.index >= this->received.size() ||
      this->received[message.part.index]) {
    return false;
  }
  this->received[message.part.index] = true;
  this->reply.routes.insert(this->reply.routes.end(), message.routes.begin(),
                            message.routes.end());
  this->reply.servers.insert(this->reply.servers.end(), message.servers.begin(),
                             message.servers.end());
  return std::all_of(this->received.begin(), this->received.end(),
                     [](bool part) { return part; });
}

std::uint32_t ReplyAssembly::FirstMissing() const {
  return static_cast<std::uint32_t>(
      std::find(this->received.begin(), this->received.end(), false) -
      this->received.begin());
}

}  // namespace cactuscross
