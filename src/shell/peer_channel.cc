#include "src/shell/peer_channel.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/wire/coap_codec.h"
#include "src/wire/peer_codec.h"

namespace cactuscross {
namespace {

// Time that a replaced or one-time source port stays open for late replies.
constexpr Duration kRetiredSocketLifetime{30000000};  // 30 s
// Maximum number of nodes with a source port of their own. Above it the node
// whose path was renewed first falls back to the listening port.
constexpr std::size_t kMaxRenewedPaths = 256;
// Maximum number of replaced and one-time source ports that stay open. Above it
// the oldest is closed.
constexpr std::size_t kMaxRetiredSockets = 128;
// Maximum number of entries in `alternate_sources`. Above it the node that was
// heard of longest ago is forgotten.
constexpr std::size_t kMaxAlternateSources = 4096;
// A new source port of a node renews the path to that node, unless that path
// was renewed within this interval. Without the limit two nodes would respond
// to each other's renewals forever.
constexpr Duration kMinReciprocalRenewalInterval{60000000};  // 60 s
// Maximum number of batches received from one socket per tick.
constexpr int kMaxBatchesPerTick = 16;

// Returns the entry of `map` whose value has the smallest time `member`.
template <typename Map, typename Value>
typename Map::iterator FindOldest(Map& map, TimePoint Value::*member) {
  return std::min_element(map.begin(), map.end(),
                          [member](const auto& a, const auto& b) {
                            return a.second.*member < b.second.*member;
                          });
}

// Subtracts the time that a request waited in the socket's receive buffer from
// its remaining time budget. Otherwise a process that was paused would run an
// expired request.
void SubtractAge(Duration age, PeerEnvelope& envelope) {
  auto* request = std::get_if<ForwardedRequest>(&envelope.body);
  if (request != nullptr && request->budget > Duration{0}) {
    // A budget of 0 means that the deadline has not started, so the smallest
    // value is 1.
    request->budget = std::max(request->budget - age, Duration{1});
  }
}

bool RequestsNewPath(const PeerEnvelope& envelope) {
  const auto* probe = std::get_if<Probe>(&envelope.body);
  const auto* reply = std::get_if<ProbeReply>(&envelope.body);
  return (probe != nullptr && probe->new_path) ||
         (reply != nullptr && reply->new_path);
}

}  // namespace

tl::expected<PeerChannel, int> PeerChannel::Open(const Endpoint& listen,
                                                 ShellCounters& counters) {
  auto listener = UdpSocket::Open(listen);
  if (!listener) {
    return tl::unexpected<int>(listener.error());
  }
  return PeerChannel(*std::move(listener), counters);
}

void PeerChannel::AppendPollEntries(std::vector<pollfd>& entries) const {
  entries.push_back({this->listener.Get(), POLLIN, 0});
  for (const auto& [node, path] : this->renewed_paths) {
    entries.push_back({path.socket.Get(), POLLIN, 0});
  }
  for (const RetiredSocket& old : this->retired_sockets) {
    entries.push_back({old.socket.Get(), POLLIN, 0});
  }
}

std::vector<PeerEnvelope> PeerChannel::Receive(TimePoint now) {
  std::vector<PeerEnvelope> envelopes;
  this->ReceiveFrom(now, this->listener, envelopes);
  for (const auto& [node, path] : this->renewed_paths) {
    this->ReceiveFrom(now, path.socket, envelopes);
  }
  for (const RetiredSocket& old : this->retired_sockets) {
    this->ReceiveFrom(now, old.socket, envelopes);
  }
  return envelopes;
}

void PeerChannel::ReceiveFrom(TimePoint now,
                              const UdpSocket& socket,
                              std::vector<PeerEnvelope>& envelopes) {
  for (int batch = 0; batch < kMaxBatchesPerTick; ++batch) {
    const auto datagrams = socket.Receive();
    for (const ReceivedDatagram& datagram : datagrams) {
      ++this->counters->peer_datagrams_received;
      auto envelope = DecodeEnvelope(datagram.bytes);
      if (envelope && !datagram.truncated) {
        this->RecordSource(now, datagram.source, envelope->from);
        SubtractAge(datagram.age, *envelope);
        envelopes.push_back(*std::move(envelope));
      } else {
        ++this->counters->peer_datagrams_malformed;
      }
    }
    if (datagrams.size() < kReceiveBatch) {
      return;
    }
  }
}

void PeerChannel::RecordSource(TimePoint now,
                               const Endpoint& source,
                               const PeerAddress& from) {
  if (source == from.endpoint) {
    return;
  }
  if (this->alternate_sources.size() >= kMaxAlternateSources &&
      this->alternate_sources.count(from.node) == 0) {
    this->alternate_sources.erase(
        FindOldest(this->alternate_sources, &AlternateSource::heard_at));
  }
  AlternateSource& alternate = this->alternate_sources[from.node];
  alternate.heard_at = now;
  const auto path = this->renewed_paths.find(from.node);
  const bool recently_renewed =
      path != this->renewed_paths.end() &&
      now < path->second.renewed_at + kMinReciprocalRenewalInterval;
  if (std::exchange(alternate.source, source) == source || recently_renewed) {
    return;
  }
  this->RenewPath(now, from.node);
}

void PeerChannel::Queue(TimePoint now, const PeerEnvelope& envelope) {
  Bytes bytes = EncodeEnvelope(envelope);
  if (bytes.empty() || bytes.size() > kMaxDatagramBytes) {
    ++this->counters->messages_unencodable;
    return;
  }
  OutgoingDatagram datagram{envelope.to.endpoint, std::move(bytes)};
  const auto path = this->renewed_paths.find(envelope.to.node);
  if (RequestsNewPath(envelope)) {
    this->SendFromNewPort(now, datagram);
  } else if (path != this->renewed_paths.end()) {
    this->SendNow(path->second.socket, datagram);
  } else {
    this->outgoing.push_back(std::move(datagram));
  }
}

void PeerChannel::SendNow(const UdpSocket& socket,
                          const OutgoingDatagram& datagram) {
  const std::size_t sent = socket.Send(gsl::make_span(&datagram, 1));
  this->counters->peer_datagrams_sent += sent;
  this->counters->datagrams_not_sent += 1 - sent;
}

void PeerChannel::SendFromNewPort(TimePoint now,
                                  const OutgoingDatagram& datagram) {
  auto socket = UdpSocket::Open(Endpoint{this->listener.Local().address, 0});
  if (!socket) {
    ++this->counters->datagrams_not_sent;
    return;
  }
  this->SendNow(*socket, datagram);
  this->Retire(now, *std::move(socket));
}

void PeerChannel::Retire(TimePoint now, UdpSocket socket) {
  if (this->retired_sockets.size() >= kMaxRetiredSockets) {
    this->retired_sockets.erase(this->retired_sockets.begin());
  }
  this->retired_sockets.push_back(
      {std::move(socket), now + kRetiredSocketLifetime});
}

void PeerChannel::Flush() {
  const std::size_t sent = this->listener.Send(this->outgoing);
  this->counters->peer_datagrams_sent += sent;
  this->counters->datagrams_not_sent += this->outgoing.size() - sent;
  this->outgoing.clear();
}

void PeerChannel::RenewPath(TimePoint now, NodeId node) {
  auto socket = UdpSocket::Open(Endpoint{this->listener.Local().address, 0});
  if (!socket) {
    return;
  }
  ++this->counters->paths_renewed;
  auto old = this->renewed_paths.find(node);
  if (old == this->renewed_paths.end() &&
      this->renewed_paths.size() >= kMaxRenewedPaths) {
    old = FindOldest(this->renewed_paths, &RenewedPath::renewed_at);
  }
  if (old != this->renewed_paths.end()) {
    this->Retire(now, std::move(old->second.socket));
    this->renewed_paths.erase(old);
  }
  this->renewed_paths.emplace(node, RenewedPath{*std::move(socket), now});
}

void PeerChannel::CloseRetired(TimePoint now) {
  const auto expired =
      std::remove_if(this->retired_sockets.begin(), this->retired_sockets.end(),
                     [now](const auto& old) { return old.close_at <= now; });
  this->retired_sockets.erase(expired, this->retired_sockets.end());
}

}  // namespace cactuscross
