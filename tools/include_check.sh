#!/bin/sh
# Checks the dependencies between folders:
# - the core has no I/O: it includes neither shell, wire, cli, config nor
#   platform, and no system header for sockets, clocks, threads, files or random
#   sources;
# - the folders of the flow path include each other in one direction;
# - only platform/ uses the names of the users' platform, and only the command
#   line includes it.
set -u
cd "$(dirname "$0")/.." || exit 1
status=0
pattern='#include (["<](src/(shell|wire|cli|config)/|platform/)|<(thread|mutex|fstream|iostream|sys/|unistd|netinet|arpa|random>|zmq|pistache|glog|yaml-cpp))'
clocks='(system_clock|steady_clock|high_resolution_clock|random_device|std::rand\b)'
if grep -rnE "$pattern|$clocks" include src/core; then
  echo "include_check: the core must not use the headers and clocks listed above"
  status=1
fi
if grep -rnE '#include "platform/' src include | grep -v '^src/cli/role_commands.cc:'; then
  echo "include_check: only src/cli/role_commands.cc may include platform/"
  status=1
fi
# Folders of the flow path and those that each may include, as in
# src/core/flow/README.md.
check_flow_folder() {
  folder=$1
  allowed="$folder $2"
  for other in common view forwarding placement admission search agent balancer; do
    case " $allowed " in
      *" $other "*) ;;
      *)
        if grep -rn "#include \"src/core/flow/$other/" "src/core/flow/$folder"; then
          echo "include_check: src/core/flow/$folder must not include $other/"
          status=1
        fi
        ;;
    esac
  done
}
check_flow_folder common ""
check_flow_folder view "common"
check_flow_folder forwarding "common view"
check_flow_folder placement "common view"
check_flow_folder admission "common view"
check_flow_folder search "common view forwarding placement"
check_flow_folder agent "common"
check_flow_folder balancer "common view forwarding placement admission search"
# Names in the API of the platform. Common words such as "address", "zone" and
# "state" are left out because other code uses them too.
platform_names='kv-(key|range|watch)|kv_(key|range|watch)|op/config|"servers/|waitMs|isStale|coldRemainingMs|heartbeatMs|datagramAddr|readyAddr|portRange|BOUNCED|seedLagS|addrReuseS|stableMs|configApplyMs|reorderMs|flowMaxS|drainMs|graceS|idleTimeoutMs|/readiness"|routeType|targetLatencyMs|"CACTUSCROSS_SETTINGS'
if grep -rnE "$platform_names" include src; then
  echo "include_check: only platform/ may use the names listed above"
  status=1
fi
[ "$status" -eq 0 ] && echo "include_check: ok"
exit "$status"
