#include "src/shell/service_sockets.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "src/shell/log.h"
#include "src/wire/coap_codec.h"

namespace cactuscross {
namespace {

// Minimum time between two attempts to bind addresses that failed.
constexpr Duration kBindRetryInterval{1000000};  // 1 s
// Maximum time that a caller's datagram may wait in the socket's receive
// buffer. Older datagrams are dropped: the caller has already retransmitted or
// timed out, so a reply would be stale.
constexpr Duration kMaxCallerDatagramAge{2000000};  // 2 s
// Maximum number of batches received from one socket per tick.
constexpr int kMaxBatchesPerTick = 16;

}  // namespace

void ServiceSockets::Update(TimePoint now,
                            const std::vector<Endpoint>& addresses) {
  const bool retry = !this->failed_addresses.empty() && now >= this->next_retry;
  if (addresses == this->requested_addresses && !retry) {
    return;
  }
  this->requested_addresses = addresses;
  this->next_retry = now + kBindRetryInterval;
  const std::set<Endpoint> listed(addresses.begin(), addresses.end());
  for (auto it = this->sockets.begin(); it != this->sockets.end();) {
    it = listed.count(it->first) == 0 ? this->sockets.erase(it) : std::next(it);
  }
  for (auto it = this->failed_addresses.begin();
       it != this->failed_addresses.end();) {
    it = listed.count(*it) == 0 ? this->failed_addresses.erase(it)
                                : std::next(it);
  }
  for (const Endpoint& address : listed) {
    if (this->sockets.count(address) == 0) {
      this->Open(address);
    }
  }
}

Endpoint ServiceSockets::BoundAddress(const Endpoint& service_address) const {
  return Endpoint{this->bind_address.value_or(service_address.address),
                  service_address.port};
}

void ServiceSockets::Open(const Endpoint& service_address) {
  const Endpoint local = this->BoundAddress(service_address);
  auto socket = UdpSocket::Open(local);
  if (socket) {
    this->failed_addresses.erase(service_address);
    this->sockets.emplace(service_address, *std::move(socket));
    Log(LogSeverity::kInfo, "callers", "listening",
        {{"service_address", ToString(service_address)},
         {"bound", ToString(local)}});
    return;
  }
  ++this->counters.service_binds_failed;
  if (this->failed_addresses.insert(service_address).second) {
    Log(LogSeverity::kError, "callers",
        "cannot bind the service address; retrying",
        {{"service_address", ToString(service_address)},
         {"bound", ToString(local)},
         {"error", std::strerror(socket.error())}});
  }
}

void ServiceSockets::AppendPollEntries(std::vector<pollfd>& entries) const {
  for (const auto& [address, socket] : this->sockets) {
    entries.push_back({socket.Get(), POLLIN, 0});
  }
}

std::vector<CallerDatagram> ServiceSockets::Receive() {
  std::vector<CallerDatagram> received;
  for (const auto& [address, socket] : this->sockets) {
    for (int batch = 0; batch < kMaxBatchesPerTick; ++batch) {
      const auto datagrams = socket.Receive();
      for (const ReceivedDatagram& datagram : datagrams) {
        ++this->counters.caller_datagrams_received;
        if (datagram.age > kMaxCallerDatagramAge) {
          ++this->counters.caller_datagrams_stale;
          continue;
        }
        auto message = DecodeCoap(datagram.bytes);
        if (message) {
          received.push_back({datagram.source, address, *std::move(message)});
        } else {
          this->Reject(socket, datagram, message.error());
        }
      }
      if (datagrams.size() < kReceiveBatch) {
        break;
      }
    }
  }
  return received;
}

void ServiceSockets::Send(const std::vector<CallerDatagram>& replies) {
  std::map<Endpoint, std::vector<OutgoingDatagram>> outgoing;
  for (const CallerDatagram& reply : replies) {
    Bytes bytes = EncodeCoap(reply.message);
    if (bytes.empty()) {
      ++this->counters.messages_unencodable;
    } else {
      outgoing[reply.service_address].push_back(
          {reply.caller, std::move(bytes)});
    }
  }
  for (const auto& [address, datagrams] : outgoing) {
    const auto socket = this->sockets.find(address);
    const std::size_t sent =
        socket == this->sockets.end() ? 0 : socket->second.Send(datagrams);
    this->counters.caller_datagrams_sent += sent;
    this->counters.datagrams_not_sent += datagrams.size() - sent;
  }
}

void ServiceSockets::Reject(const UdpSocket& socket,
                            const ReceivedDatagram& datagram,
                            ResultCode code) {
  if (code == ResultCode::kUnsupportedOption) {
    ++this->counters.caller_options_unsupported;
  } else {
    ++this->counters.caller_datagrams_malformed;
  }
  const auto rejection = MakeRejection(datagram.bytes, code);
  if (rejection) {
    const OutgoingDatagram answer{datagram.source, EncodeCoap(*rejection)};
    const std::size_t sent = socket.Send(gsl::make_span(&answer, 1));
    this->counters.caller_datagrams_sent += sent;
    this->counters.datagrams_not_sent += 1 - sent;
  }
}

std::optional<CoapMessage> MakeRejection(ByteView datagram, ResultCode code) {
  const auto header = DecodeCoapHeader(datagram);
  if (!header || header->type != CoapType::kConfirmable) {
    return std::nullopt;
  }
  CoapMessage rejection;
  rejection.message_id = header->message_id;
  if (IsRequest(*header) && code == ResultCode::kUnsupportedOption) {
    rejection.type = CoapType::kAcknowledgement;
    rejection.code = CoapCode::kBadOption;
    rejection.token = header->token;
  } else {
    rejection.type = CoapType::kReset;
  }
  return rejection;
}

}  // namespace cactuscross
