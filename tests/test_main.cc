#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

namespace {

// Returns the number of failures whose test KNOWN-RED.txt lists in a line
// "test: unit/SUITE::TEST", and prints them.
int CountKnownRed(const CppUnit::TestResultCollector& collector) {
  const std::string prefix = "test: unit/";
  const auto root = std::filesystem::path(__FILE__).parent_path().parent_path();
  std::ifstream file(root / "KNOWN-RED.txt");
  int known = 0;
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(prefix, 0) != 0) {
      continue;
    }
    const std::string name = "::" + line.substr(prefix.size());
    for (const CppUnit::TestFailure* failure : collector.failures()) {
      const std::string failed = failure->failedTestName();
      if (failed.size() >= name.size() &&
          failed.compare(failed.size() - name.size(), name.size(), name) == 0) {
        std::cout << "KNOWN RED " << failed << std::endl;
        ++known;
      }
    }
  }
  return known;
}

}  // namespace

// Runs every registered suite, or the one test or suite named on the command
// line. `--quiet` omits the line for each test.
int main(int argc, char** argv) {
  std::string path;
  bool quiet = false;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--quiet") == 0) {
      quiet = true;
    } else {
      path = argv[i];
    }
  }
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  if (!quiet) {
    controller.addListener(&progress);
  }
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, path);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  const int known_red = CountKnownRed(collector);
  const int failed = collector.testFailuresTotal() - known_red;
  std::cout << collector.runTests() - failed - known_red << " passed, "
            << failed << " failed" << std::endl;
  return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
