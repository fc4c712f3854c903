#ifndef CACTUSCROSS_SRC_CORE_COMMON_TICKET_H_
#define CACTUSCROSS_SRC_CORE_COMMON_TICKET_H_

// The admission ticket carried in the Echo option (RFC 9175). It permits one
// agent, in one incarnation, to run one non-idempotent request once.

#include <array>
#include <cstdint>
#include <optional>

#include "cactuscross/core_dependencies.h"
#include "cactuscross/types.h"

namespace cactuscross {

// The maximum length of the Echo option.
inline constexpr std::size_t kTicketBytes = 40;

struct Ticket {
  NodeId agent = kNoNode;
  Incarnation incarnation{0};
  std::uint32_t sequence = 0;
  std::uint32_t expiry_s = 0;          // since the agent's start, on its clock
  std::uint32_t contract_version = 0;  // lower 32 bits
};

using TicketKey = std::array<std::uint8_t, kTicketKeyBytes>;

// Encodes `ticket` and appends a MAC keyed with `key`.
Bytes EncodeTicket(const Ticket& ticket, const TicketKey& key);

// Decodes the fields without verifying the MAC, for routing only.
std::optional<Ticket> PeekTicket(ByteView echo);

// Returns true if the MAC of `echo` is valid for `key`.
bool VerifyTicket(ByteView echo, const TicketKey& key);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_COMMON_TICKET_H_
