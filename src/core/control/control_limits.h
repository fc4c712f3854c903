#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_LIMITS_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_LIMITS_H_

// Limits and intervals of the control plane.

#include <chrono>
#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Gossip of contracts.

// Neighbours are balancers: up to this many in the own zone and in other zones.
inline constexpr std::size_t kZoneNeighbours = 4;
inline constexpr std::size_t kOtherZoneNeighbours = 2;
inline constexpr std::size_t kAnnounceFanOut = 4;        // neighbours per round
inline constexpr std::size_t kAnnounceBurst = 3;         // rounds without delay
inline constexpr Duration kAnnounceRefill = seconds(1);  // per further round
// Higher ages are sent as this one in digests, since a duration above
// kMaxWireDuration makes a message invalid.
inline constexpr Duration kMaxServiceAge = minutes(30);
inline constexpr Duration kPollInterval = seconds(4);
inline constexpr Duration kPollTimeout = milliseconds(1500);
// After a poll timeout.
inline constexpr Duration kNeighbourExclusion = seconds(30);
inline constexpr Duration kNeighbourRotation = seconds(60);
inline constexpr Duration kPullTimeout = seconds(1);
// Per peer that uses an older contract version.
inline constexpr Duration kAdvertiseInterval = seconds(1);
inline constexpr std::size_t kMaxPullAttempts = 5;       // per version
inline constexpr std::size_t kMaxOutstandingPulls = 64;  // customers, all pulls
inline constexpr std::size_t kMaxCustomersPerPull = 32;  // per message
inline constexpr std::size_t kMaxPushBytes = 60000;      // text per message
inline constexpr std::size_t kInitialDigestWindow = 32;  // digest entries
inline constexpr std::size_t kDigestWindowGrowth = 4;    // factor per window
inline constexpr std::size_t kMaxDigestWindow = 1024;    // digest entries
inline constexpr std::size_t kMaxTombstones = 8192;

// Reads from the configuration service.
inline constexpr Duration kLongPollWait = seconds(5);
// Mean time from an answer to the next long poll of a balancer.
inline constexpr Duration kContractReadInterval = milliseconds(250);
// In addition to the wait of a long poll.
inline constexpr Duration kPlatformReadTimeout = seconds(10);
inline constexpr Duration kInitialBackoff = milliseconds(500);
inline constexpr Duration kMaxBackoff = seconds(5);
inline constexpr Duration kMaxTakeOverJitter = seconds(2);  // of a new reader
// While the configuration service answers no process, the number of readers
// doubles each time this interval passes.
inline constexpr Duration kReaderDoublingInterval = seconds(30);
inline constexpr Duration kSafeRevisionAge = seconds(30);  // of a digest match
// An agent reads the service itself after this time without an answer from a
// balancer.
inline constexpr Duration kAgentReadDelay = seconds(15);
// Mean time from an answer to the next long poll of an agent, and the maximum
// delay of its first one.
inline constexpr Duration kAgentReadInterval = seconds(60);
inline constexpr Duration kHostListInterval = seconds(10);
// The interval between reads of the host list is this times the number of
// hosts, but at least kHostListInterval.
inline constexpr Duration kHostListIntervalPerHost = milliseconds(200);

// Failure detection.
// Target number of agents per balancer; kMinWatchersPerAgent may raise it.
inline constexpr std::size_t kWatchedAgentsPerBalancer = 16;
inline constexpr std::size_t kMinWatchersPerAgent = 2;
inline constexpr std::size_t kWatchersPerBalancer = 3;
// Agents of the same customer that watch each agent.
inline constexpr std::size_t kAgentWatchersPerAgent = 3;
inline constexpr Duration kWatchSetInterval = seconds(1);
// A watched process is probed after this time without a message from it, or
// after kProbeIdleTimePerWatch times the number of watched processes if longer.
inline constexpr Duration kProbeIdleTime = seconds(2);
inline constexpr Duration kProbeIdleTimePerWatch = milliseconds(200);
// A watched process is probed at this interval even if messages arrive from it.
inline constexpr Duration kPathCheckInterval = seconds(15);
inline constexpr Duration kProbeTimeout = milliseconds(500);
inline constexpr Duration kIndirectTimeout = milliseconds(1000);
inline constexpr Duration kSuspectProbeInterval = seconds(1);
inline constexpr Duration kSuspicionTimeout = seconds(5);
inline constexpr Duration kDeadProbeInterval = seconds(10);  // if watched
inline constexpr Duration kDownProbeInterval = seconds(1);   // per prober
// Per prober, for down processes that new work needs.
inline constexpr Duration kRequestedProbeInterval = milliseconds(200);
inline constexpr std::size_t kMaxRequestedProbes = 64;
// Per target.
inline constexpr Duration kRefutationProbeInterval = milliseconds(500);
// A process that sent a message within this time is not marked down by updates
// of others.
inline constexpr Duration kRecentContactTime = seconds(2);
inline constexpr Duration kDeadMemberRetention = minutes(30);
inline constexpr Duration kMemberEvictionInterval = seconds(30);
inline constexpr Duration kForwardAnswerTimeout = seconds(1);   // then probed
inline constexpr Duration kOnDemandProbeInterval = seconds(1);  // per prober
inline constexpr std::size_t kMaxTrackedPeers = 1024;           // per table
inline constexpr std::size_t kIndirectHelpers = 2;  // per probe cycle
inline constexpr std::size_t kMaxRelayedProbes = 64;
inline constexpr std::size_t kUpdatesPerProbe = 4;
// A notice is a probe that requests no reply. It carries new updates to a few
// random processes.
inline constexpr std::size_t kUpdatesPerNotice = 8;
inline constexpr std::size_t kNoticeFanOut = 3;
inline constexpr Duration kNoticeInterval = milliseconds(400);
// Each update is sent about kUpdateRepeatFactor * log2(members) times.
inline constexpr std::size_t kUpdateRepeatFactor = 3;

// Joining the fleet, and pauses of this process.
inline constexpr std::size_t kMinJoinAnswers = 2;  // peers
inline constexpr Duration kJoinRetryInterval = seconds(1);
// Without an answer from a peer for this time, an answer from the configuration
// service suffices.
inline constexpr Duration kMaxJoinPeerWait = seconds(2);
inline constexpr Duration kMaxTickGap = seconds(1);  // a longer one is a pause

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_LIMITS_H_
