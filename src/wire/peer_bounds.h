#ifndef CACTUSCROSS_SRC_WIRE_PEER_BOUNDS_H_
#define CACTUSCROSS_SRC_WIRE_PEER_BOUNDS_H_

// Checks the bounds of every field of a message between processes, before the
// message is sent and after it is parsed.

#include "src/wire/peer.pb.h"

namespace cactuscross {

// Returns true if every length, count, enumeration and duration of `envelope`
// is within the bounds of peer_codec.h and of CoAP, and a body is present.
bool IsWithinBounds(const wire::Envelope& envelope);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_WIRE_PEER_BOUNDS_H_
