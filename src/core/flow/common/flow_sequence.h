#ifndef CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_SEQUENCE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_SEQUENCE_H_

// Tells flows with the same key apart. A client may use a port again for a new
// flow, whose initial sequence numbers are random.

#include <cstdint>
#include <optional>

namespace cactuscross {

// Maximum distance of a sequence or acknowledgement number from the last one of
// the same flow. Must exceed what an end may have in flight, or send while its
// packets take another path. The numbers of another flow are this close by
// chance in one of 2,048 cases; its packets are then rejected by the server.
inline constexpr std::uint32_t kSequenceWindow = 1U << 20U;

// True if `number` may follow `last` in one flow, or precede it in a packet
// that arrives late. `last` is the last number known; nullopt if none is.
constexpr bool IsOfSameFlow(std::optional<std::uint32_t> last,
                            std::uint32_t number) {
  return !last || number - *last + kSequenceWindow < 2 * kSequenceWindow;
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_SEQUENCE_H_
