#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "tests/scenarios/scenario.h"

namespace cactuscross::testing {
namespace {

constexpr std::uint64_t kFirstSeed = 20260101;
constexpr std::uint64_t kSeeds = 3;
// Environment variable: the number of seeds for each scenario.
constexpr const char* kSeedsVariable = "CACTUSCROSS_SCENARIO_SEEDS";

std::uint64_t SeedCount() {
  const char* more = std::getenv(kSeedsVariable);
  return more == nullptr ? kSeeds : std::stoull(more);
}

std::filesystem::path Folder() {
  return std::filesystem::path(__FILE__).parent_path();
}

// Returns the names in lines "test: scenarios/NAME" of KNOWN-RED.txt. The
// result of such a scenario is printed and does not fail the run.
std::set<std::string> KnownRed() {
  const std::string prefix = "test: scenarios/";
  std::set<std::string> names;
  std::ifstream file(Folder().parent_path().parent_path() / "KNOWN-RED.txt");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(prefix, 0) == 0) {
      names.insert(line.substr(prefix.size()));
    }
  }
  return names;
}

class ScenarioCase : public CppUnit::TestCase {
 public:
  explicit ScenarioCase(const std::filesystem::path& scenario)
      : CppUnit::TestCase(scenario.stem().string()), file(scenario) {}

  void runTest() override {
    std::string text;
    const std::uint64_t end = kFirstSeed + SeedCount();
    for (std::uint64_t seed = kFirstSeed; seed < end; ++seed) {
      for (const std::string& line : RunScenario(this->file.string(), seed)) {
        text += "\n    seed " + std::to_string(seed) + ": " + line;
      }
    }
    const std::string name = this->file.stem().string();
    if (KnownRed().count(name) != 0) {
      std::cout << "KNOWN RED " << this->getName()
                << (text.empty() ? ": passes now" : ":" + text) << std::endl;
      return;
    }
    CPPUNIT_ASSERT_MESSAGE(text, text.empty());
  }

 private:
  std::filesystem::path file;
};

struct ScenarioSuite {
  static CppUnit::Test* suite() {  // NOLINT: CppUnit requires this name
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(Folder())) {
      if (entry.path().extension() == ".yaml") {
        files.push_back(entry.path());
      }
    }
    std::sort(files.begin(), files.end());
    auto* tests = new CppUnit::TestSuite("scenarios");
    for (const std::filesystem::path& file : files) {
      tests->addTest(new ScenarioCase(file));
    }
    return tests;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioSuite);

}  // namespace
}  // namespace cactuscross::testing
