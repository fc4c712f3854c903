#!/bin/sh
# Checks what folders may know of each other:
# - the core has no I/O: it includes neither shell nor wire, and no system header
#   of sockets, clocks, threads, files or random sources;
# - only platform/ knows the words of the users' platform, and only the command
#   line includes it.
set -u
cd "$(dirname "$0")/.." || exit 1
status=0
pattern='#include (["<](src/(shell|wire|cli|config)/|platform/)|<(thread|mutex|fstream|iostream|sys/|unistd|netinet|arpa|random>|zmq|pistache|glog|yaml-cpp))'
clocks='(system_clock|steady_clock|high_resolution_clock|random_device|std::rand\b)'
if grep -rnE "$pattern|$clocks" include src/core; then
  echo "include_check: the core must not use the above"
  status=1
fi
if grep -rnE '#include "platform/' src include | grep -v '^src/cli/role_commands.cc:'; then
  echo "include_check: only the commands that run a role use platform/"
  status=1
fi
# Names and calls of the platform. Names that are plain words elsewhere
# ("address", "zone", "state") cannot be told apart and are left out.
words='kv-(key|range|watch)|kv_(key|range|watch)|op/config|"servers/|waitMs|isStale|coldRemainingMs|heartbeatMs|datagramAddr|readyAddr|portRange|BOUNCED|seedLagS|addrReuseS|stableMs|configApplyMs|reorderMs|flowMaxS|drainMs|graceS|idleTimeoutMs|/readiness"|routeType|targetLatencyMs|"CACTUSCROSS_SETTINGS'
if grep -rnE "$words" include src; then
  echo "include_check: the above are words of the platform"
  status=1
fi
[ "$status" -eq 0 ] && echo "include_check: ok"
exit "$status"
