#ifndef CACTUSCROSS_TESTS_SCENARIOS_SCENARIO_H_
#define CACTUSCROSS_TESTS_SCENARIOS_SCENARIO_H_

// Interpreter for tests/scenarios/*.yaml. A scenario describes a cluster and a
// list of timed steps, each an action or an expectation; see README.md in this
// folder.

#include <cstdint>
#include <string>
#include <vector>

namespace cactuscross::testing {

// Runs the scenario in `file` with `seed`. Returns the failures; empty if all
// invariants held and all expectations were met.
std::vector<std::string> RunScenario(const std::string& file,
                                     std::uint64_t seed);

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SCENARIOS_SCENARIO_H_
