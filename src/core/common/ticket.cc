#include "src/core/common/ticket.h"

#include <sodium/crypto_shorthash_siphash24.h>
#include <sodium/utils.h>
#include <boost/endian/conversion.hpp>

namespace cactuscross {
namespace {

constexpr std::size_t kMacBytes = crypto_shorthash_siphashx24_BYTES;
constexpr std::size_t kFieldBytes = kTicketBytes - kMacBytes;
constexpr std::size_t kAgentOffset = 0;
constexpr std::size_t kIncarnationOffset = 4;
constexpr std::size_t kSequenceOffset = 12;
constexpr std::size_t kExpiryOffset = 16;
constexpr std::size_t kVersionOffset = 20;

static_assert(crypto_shorthash_siphashx24_KEYBYTES == kTicketKeyBytes);
static_assert(kVersionOffset + 4 == kFieldBytes);

std::array<std::uint8_t, kMacBytes> MakeMac(ByteView fields,
                                            const TicketKey& key) {
  std::array<std::uint8_t, kMacBytes> mac{};
  crypto_shorthash_siphashx24(mac.data(), fields.data(), fields.size(),
                              key.data());
  return mac;
}

}  // namespace

Bytes EncodeTicket(const Ticket& ticket, const TicketKey& key) {
  using boost::endian::store_big_u32;
  using boost::endian::store_big_u64;
  Bytes echo(kFieldBytes);
  store_big_u32(&echo[kAgentOffset], ToNumber(ticket.agent));
  store_big_u64(&echo[kIncarnationOffset], ToNumber(ticket.incarnation));
  store_big_u32(&echo[kSequenceOffset], ticket.sequence);
  store_big_u32(&echo[kExpiryOffset], ticket.expiry_s);
  store_big_u32(&echo[kVersionOffset], ticket.contract_version);
  const auto mac = MakeMac(echo, key);
  echo.insert(echo.end(), mac.begin(), mac.end());
  return echo;
}

std::optional<Ticket> PeekTicket(ByteView echo) {
  using boost::endian::load_big_u32;
  using boost::endian::load_big_u64;
  if (echo.size() != kTicketBytes) {
    return std::nullopt;
  }
  Ticket ticket;
  ticket.agent = NodeId{load_big_u32(&echo[kAgentOffset])};
  ticket.incarnation = Incarnation{load_big_u64(&echo[kIncarnationOffset])};
  ticket.sequence = load_big_u32(&echo[kSequenceOffset]);
  ticket.expiry_s = load_big_u32(&echo[kExpiryOffset]);
  ticket.contract_version = load_big_u32(&echo[kVersionOffset]);
  return ticket;
}

bool VerifyTicket(ByteView echo, const TicketKey& key) {
  if (echo.size() != kTicketBytes) {
    return false;
  }
  const auto mac = MakeMac(echo.first(kFieldBytes), key);
  return sodium_memcmp(mac.data(), &echo[kFieldBytes], kMacBytes) == 0;
}

}  // namespace cactuscross
