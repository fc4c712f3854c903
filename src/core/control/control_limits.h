#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_LIMITS_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_LIMITS_H_

// Bounds and intervals of the control plane, in one place.

#include <chrono>
#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Gossip of contracts.
inline constexpr std::size_t kZoneNeighbours = 4;  // balancers, own zone
inline constexpr std::size_t kOtherZoneNeighbours =
    2;                                             // balancers, other zones
inline constexpr std::size_t kAnnounceFanOut = 4;  // neighbours per flush
inline constexpr std::size_t kAnnounceBurst = 3;   // flushes without waiting
inline constexpr Duration kAnnounceRefill = seconds(1);  // per further flush
inline constexpr Duration kMaxServiceAge = minutes(30);  // told to others
inline constexpr Duration kPollInterval = seconds(4);
inline constexpr Duration kPollTimeout = milliseconds(1500);
inline constexpr Duration kNeighbourExclusion = seconds(30);  // after no answer
inline constexpr Duration kNeighbourRotation = seconds(60);
inline constexpr Duration kPullTimeout = seconds(1);
inline constexpr Duration kAdvertiseInterval =
    seconds(1);  // per peer that lags
inline constexpr std::size_t kMaxPullAttempts = 5;
inline constexpr std::size_t kMaxOutstandingPulls = 64;  // customers
inline constexpr std::size_t kMaxCustomersPerPull = 32;  // per message
inline constexpr std::size_t kMaxPushBytes = 60000;      // text per message
inline constexpr std::size_t kInitialDigestWindow = 32;  // digest entries
inline constexpr std::size_t kDigestWindowGrowth = 4;
inline constexpr std::size_t kMaxDigestWindow = 1024;  // digest entries
inline constexpr std::size_t kMaxTombstones = 8192;

// Reads from the configuration service.
inline constexpr Duration kLongPollWait = seconds(5);
inline constexpr Duration kContractReadInterval = milliseconds(250);
inline constexpr Duration kPlatformReadTimeout =
    seconds(10);  // past the watch's wait
inline constexpr Duration kInitialBackoff = milliseconds(500);
inline constexpr Duration kMaxBackoff = seconds(5);
inline constexpr Duration kMaxTakeOverJitter = seconds(2);  // longest wait
inline constexpr Duration kReaderDoublingInterval =
    seconds(30);  // then more read
inline constexpr Duration kSafeRevisionAge = seconds(30);
inline constexpr Duration kAgentReadDelay = seconds(15);  // without balancers
inline constexpr Duration kAgentReadInterval = seconds(60);
inline constexpr Duration kHostListInterval = seconds(10);
inline constexpr Duration kHostListIntervalPerHost = milliseconds(200);

// Liveness.
inline constexpr std::size_t kWatchedAgentsPerBalancer =
    16;  // per balancer, at least
inline constexpr std::size_t kMinWatchersPerAgent = 2;
inline constexpr std::size_t kWatchersPerBalancer = 3;
inline constexpr std::size_t kAgentWatchersPerAgent = 3;
inline constexpr Duration kWatchSetInterval = seconds(1);
inline constexpr Duration kProbeIdleTime = seconds(2);  // before a probe
inline constexpr Duration kProbeIdleTimePerWatch = milliseconds(200);
inline constexpr Duration kPathCheckInterval = seconds(15);
inline constexpr Duration kProbeTimeout = milliseconds(500);
inline constexpr Duration kIndirectTimeout = milliseconds(1000);
inline constexpr Duration kSuspectProbeInterval = seconds(1);
inline constexpr Duration kSuspicionTimeout = seconds(5);
inline constexpr Duration kDeadProbeInterval = seconds(10);
inline constexpr Duration kDownProbeInterval = seconds(1);  // per process
inline constexpr Duration kRequestedProbeInterval =
    milliseconds(200);  // per process
inline constexpr std::size_t kMaxRequestedProbes = 64;
inline constexpr Duration kRefutationProbeInterval = milliseconds(500);
inline constexpr Duration kRecentContactTime = seconds(2);
inline constexpr Duration kDeadMemberRetention = minutes(30);
inline constexpr Duration kMemberEvictionInterval = seconds(30);
inline constexpr Duration kForwardAnswerTimeout = seconds(1);
inline constexpr Duration kOnDemandProbeInterval = seconds(1);  // per process
inline constexpr std::size_t kMaxTrackedPeers = 1024;
inline constexpr std::size_t kIndirectHelpers = 2;
inline constexpr std::size_t kMaxRelayedProbes = 64;
inline constexpr std::size_t kUpdatesPerProbe = 4;
inline constexpr std::size_t kUpdatesPerNotice = 8;
inline constexpr std::size_t kNoticeFanOut = 3;
inline constexpr Duration kNoticeInterval = milliseconds(400);
inline constexpr std::size_t kUpdateRepeatFactor = 3;  // times log2 of members

// Joining and pauses.
inline constexpr std::size_t kMinJoinAnswers = 2;  // peers
inline constexpr Duration kJoinRetryInterval = seconds(1);
inline constexpr Duration kMaxJoinPeerWait = seconds(2);
inline constexpr Duration kMaxTickGap = seconds(1);  // tick gap

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_LIMITS_H_
