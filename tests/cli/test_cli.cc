#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "cactuscross/result_code.h"
#include "src/cli/cli.h"
#include "src/cli/prometheus_text.h"
#include "src/config/value_parser.h"

namespace cactuscross {
namespace {

constexpr char kContract[] = R"(customer: workshops
services:
  - name: claims
    addresses: ["127.0.0.1:5683"]
    servers:
      - {node: 11, zone: north-1, agent: "127.0.0.1:7011", slots: 7, connections: 2000}
)";
constexpr char kAgent[] = R"(node: 11
zone: north-1
listen: "127.0.0.1:7011"
operations: "127.0.0.1:8011"
service: workshops/claims
server: "127.0.0.1:9011"
)";

// Output and exit code of one command line.
struct CliRun {
  int exit_code = 0;
  std::string out;
  std::string err;
};

CliRun RunWith(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  CliRun run;
  run.exit_code = RunCli(arguments, CliStreams{out, err});
  run.out = out.str();
  run.err = err.str();
  return run;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A file in the working directory that the destructor removes.
class TemporaryFile {
 public:
  TemporaryFile(std::string name, const std::string& text)
      : name(std::move(name)) {
    std::ofstream(this->name) << text;
  }
  ~TemporaryFile() { std::remove(this->name.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& Name() const { return this->name; }

 private:
  std::string name;
};

class CliTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CliTest);
  CPPUNIT_TEST(HelpListsEveryCommand);
  CPPUNIT_TEST(InvalidCommandLineHasAnErrorCode);
  CPPUNIT_TEST(DefaultsAreShownInTheUnitOfTheKey);
  CPPUNIT_TEST(CheckAcceptsEachKind);
  CPPUNIT_TEST(CheckListsErrorsOfAllFiles);
  CPPUNIT_TEST(CheckFindsDuplicatesAcrossFiles);
  CPPUNIT_TEST(KindCanBeForced);
  CPPUNIT_TEST(InvalidSettingsPreventTheStart);
  CPPUNIT_TEST(UnreadableFileHasAnErrorCode);
  CPPUNIT_TEST(UnreachableProcessHasAnErrorCode);
  CPPUNIT_TEST(AddressesAreParsedStrictly);
  CPPUNIT_TEST(PrometheusTextIsParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HelpListsEveryCommand() {
    const CliRun help = RunWith({"--help"});
    CPPUNIT_ASSERT_EQUAL(kExitDone, help.exit_code);
    for (const char* name :
         {"balancer", "agent", "check", "dump", "explain", "top", "version"}) {
      CPPUNIT_ASSERT_MESSAGE(name, Contains(help.out, name));
      const CliRun command_help = RunWith({name, "--help"});
      CPPUNIT_ASSERT_EQUAL(kExitDone, command_help.exit_code);
      CPPUNIT_ASSERT(Contains(command_help.out, "Usage: cactuscross"));
    }
  }

  void InvalidCommandLineHasAnErrorCode() {
    const std::vector<std::vector<std::string>> lines = {
        {"chek"},
        {"check"},
        {"check", "--no-such-option"},
        {"check", "--kind", "recipe", "a.yaml"},
        {"version", "operand"},
        {"balancer"},
        {"agent", "--settings"},
        {"dump"},
        {"explain", "127.0.0.1:1", "--token", "xyz"}};
    for (const auto& line : lines) {
      const CliRun run = RunWith(line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(run.err, kExitInvalidInput, run.exit_code);
      CPPUNIT_ASSERT_MESSAGE(run.err, Contains(run.err, "E112"));
    }
    CPPUNIT_ASSERT(Contains(RunWith({"chek"}).err, "write 'check'"));
    CPPUNIT_ASSERT_EQUAL(kExitInvalidInput, RunWith({}).exit_code);
    CPPUNIT_ASSERT(Contains(RunWith({"dump", "localhost:1"}).err, "E107"));
  }

  void DefaultsAreShownInTheUnitOfTheKey() {
    const CliRun run = RunWith({"check", "--fields-markdown"});
    CPPUNIT_ASSERT_EQUAL(0, run.exit_code);
    CPPUNIT_ASSERT(Contains(run.out,
                            "| `flow_max_age_s` | number | 1 to 86400 "
                            "s | 60 |"));
    CPPUNIT_ASSERT(Contains(run.out,
                            "| `stop_bound_ms` | number | 100 to "
                            "600000 ms | 20000 |"));
  }

  void CheckAcceptsEachKind() {
    const TemporaryFile contract("cli_contract.yaml", kContract);
    const TemporaryFile agent("cli_agent.yaml", kAgent);
    const CliRun run = RunWith({"check", contract.Name(), agent.Name()});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(run.err, kExitDone, run.exit_code);
    CPPUNIT_ASSERT(Contains(run.out, "cli_contract.yaml: ok (contract)"));
    CPPUNIT_ASSERT(Contains(run.out, "cli_agent.yaml: ok (agent)"));
  }

  void CheckListsErrorsOfAllFiles() {
    const TemporaryFile contract("cli_contract.yaml",
                                 "customer: A\ncolour: b\n");
    const TemporaryFile agent("cli_agent.yaml",
                              std::string(kAgent) + "color: red\n");
    const CliRun run = RunWith({"check", contract.Name(), agent.Name()});
    CPPUNIT_ASSERT_EQUAL(kExitInvalidInput, run.exit_code);
    CPPUNIT_ASSERT(Contains(run.err, "cli_contract.yaml:1: E111 bad_name"));
    CPPUNIT_ASSERT(Contains(run.err, "cli_contract.yaml:1: E105 missing_key"));
    CPPUNIT_ASSERT(Contains(run.err, "cli_contract.yaml:2: E103 unknown_key"));
    CPPUNIT_ASSERT(Contains(run.err, "cli_agent.yaml:7: E103 unknown_key"));
    CPPUNIT_ASSERT(Contains(run.err, "4 errors"));
  }

  void CheckFindsDuplicatesAcrossFiles() {
    const TemporaryFile first("cli_first.yaml", kContract);
    const TemporaryFile second("cli_second.yaml", kContract);
    const CliRun run = RunWith({"check", first.Name(), second.Name()});
    CPPUNIT_ASSERT_EQUAL(kExitInvalidInput, run.exit_code);
    CPPUNIT_ASSERT(Contains(run.err, "E108 duplicate_customer"));
    CPPUNIT_ASSERT(Contains(run.err, "E109 duplicate_address"));
    CPPUNIT_ASSERT(Contains(run.err, "E110 duplicate_node"));
    CPPUNIT_ASSERT(Contains(run.err, "already in cli_first.yaml"));
  }

  void KindCanBeForced() {
    const TemporaryFile agent("cli_agent.yaml", kAgent);
    const CliRun run = RunWith({"check", "--kind", "balancer", agent.Name()});
    CPPUNIT_ASSERT_EQUAL(kExitInvalidInput, run.exit_code);
    CPPUNIT_ASSERT(Contains(run.err, "E103 unknown_key: no key 'service'"));
    const TemporaryFile other("cli_other.yaml", "colour: red\n");
    CPPUNIT_ASSERT(Contains(RunWith({"check", other.Name()}).err, "--kind"));
  }

  void InvalidSettingsPreventTheStart() {
    const TemporaryFile agent("cli_agent.yaml",
                              std::string(kAgent) + "color: red\nnode: x\n");
    for (const char* role : {"balancer", "agent"}) {
      const CliRun run = RunWith({role, "--settings", agent.Name()});
      CPPUNIT_ASSERT_EQUAL(kExitInvalidInput, run.exit_code);
      CPPUNIT_ASSERT(Contains(run.err, "cli_agent.yaml:7: E103"));
      CPPUNIT_ASSERT(Contains(run.err, "cli_agent.yaml:8: E115"));
    }
    CPPUNIT_ASSERT(
        Contains(RunWith({"agent", "--settings", "none"}).err, "none: E101"));
  }

  void UnreadableFileHasAnErrorCode() {
    const CliRun run = RunWith({"check", "no/such/file.yaml", "."});
    CPPUNIT_ASSERT_EQUAL(kExitInvalidInput, run.exit_code);
    CPPUNIT_ASSERT(Contains(run.err, "no/such/file.yaml: E101"));
    CPPUNIT_ASSERT(Contains(run.err, "2 errors"));
  }

  void UnreachableProcessHasAnErrorCode() {
    for (const char* name : {"dump", "explain", "top"}) {
      const CliRun run = RunWith({name, "127.0.0.1:1"});
      CPPUNIT_ASSERT_EQUAL(kExitFailed, run.exit_code);
      CPPUNIT_ASSERT_MESSAGE(run.err, Contains(run.err, "E113"));
    }
  }

  void AddressesAreParsedStrictly() {
    for (const char* text :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
          "127.0.0:1", "1.2.3.4.5:1", "0x7f.0.0.1:1", "1234.0.0.1:1", "::1:1",
          "127.0.0.1:1 ", " 127.0.0.1:1", "127.0.0.1:1:1", "+1.0.0.1:1"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseEndpoint(text));
    }
    CPPUNIT_ASSERT(Endpoint({0xC0000201, 65535}) ==
                   ParseEndpoint("192.0.2.1:65535").value());
  }

  void PrometheusTextIsParsed() {
    const auto lines = ParsePrometheusText(
        "# HELP a_total x\n# TYPE a_total counter\na_total{k=\"v w\"} 3\n"
        "# TYPE b gauge\nb 1.5\nnonsense\nc x\n\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a_total{k=\"v w\"}"), lines[0].name);
    CPPUNIT_ASSERT(lines[0].is_counter);
    CPPUNIT_ASSERT_EQUAL(1.5, lines[1].value);
    CPPUNIT_ASSERT(!lines[1].is_counter);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);

}  // namespace
}  // namespace cactuscross
