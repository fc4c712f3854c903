#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstring>
#include <iostream>
#include <string>

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
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed
            << " failed" << std::endl;
  return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
