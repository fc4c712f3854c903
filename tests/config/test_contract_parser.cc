#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "src/config/contract_parser.h"

namespace cactuscross {
namespace {

constexpr char kValidContract[] = R"(customer: workshops
services:
  - name: claims
    addresses: ["127.0.0.1:5683", "127.0.0.1:5685"]
    servers:
      - {node: 11, zone: north-1, agent: "127.0.0.1:7011", slots: 7, connections: 2000}
      - {node: 12, zone: north-2, agent: "127.0.0.1:7012", slots: 7, connections: 2000, state: leaving}
    limits: {request_rate: 500, queue_time_ms: 150, deadline_ms: 4000}
    session_max_age_s: 20
  - name: diagrams
    addresses: ["127.0.0.1:5684"]
    servers:
      - {node: 21, zone: north-1, agent: "127.0.0.1:7021", slots: 7, connections: 2000}
    idempotent_posts: true
)";

// One edit of the valid contract and the error that the parser must report.
struct InvalidEdit {
  std::string from;
  std::string to;
  ResultCode code;
  int line;
  std::string expected_detail;  // of the error; says what to write instead
};

std::string ApplyEdit(const InvalidEdit& edit) {
  std::string text = kValidContract;
  const std::size_t at = text.find(edit.from);
  CPPUNIT_ASSERT_MESSAGE(edit.from, at != std::string::npos);
  return text.replace(at, edit.from.size(), edit.to);
}

std::string RepeatText(std::string_view piece, std::size_t times) {
  std::string text;
  for (std::size_t i = 0; i < times; ++i) {
    text += piece;
  }
  return text;
}

class ContractParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContractParserTest);
  CPPUNIT_TEST(ValidContractIsParsed);
  CPPUNIT_TEST(EachErrorReportsItsLine);
  CPPUNIT_TEST(AllErrorsAreListed);
  CPPUNIT_TEST(FirstErrorParserIsAContractParser);
  CPPUNIT_TEST(InvalidOrOversizeTextIsRejected);
  CPPUNIT_TEST(TruncatedTextNeverCrashes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidContractIsParsed() {
    const auto contract = ParseContract("workshops", kValidContract);
    CPPUNIT_ASSERT(contract.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, contract->services.size());
    const ContractService& claims = contract->services[0];
    CPPUNIT_ASSERT_EQUAL(std::string("workshops/claims"), claims.full_name);
    CPPUNIT_ASSERT(MakeServiceId("workshops/claims") == claims.id);
    CPPUNIT_ASSERT(Endpoint({0x7F000001, 5685}) == claims.addresses.at(1));
    CPPUNIT_ASSERT(NodeId{12} == claims.servers.at(1).node);
    CPPUNIT_ASSERT(ServerState::kLeaving == claims.servers.at(1).state);
    CPPUNIT_ASSERT(Duration(150000) == claims.limits.queue_time);
    CPPUNIT_ASSERT(Duration(4000000) == claims.limits.deadline);
    CPPUNIT_ASSERT_EQUAL(500U, claims.limits.request_rate);
    CPPUNIT_ASSERT_EQUAL(ServiceLimits().sessions, claims.limits.sessions);
    CPPUNIT_ASSERT_EQUAL(20U, claims.session_max_age_s);
    CPPUNIT_ASSERT(!claims.idempotent_posts);
    CPPUNIT_ASSERT(contract->services[1].idempotent_posts);
  }

  void EachErrorReportsItsLine() {
    const std::vector<InvalidEdit> edits = {
        {"session_max_age_s", "session_maxage_s", ResultCode::kUnknownKey, 9,
         "'session_max_age_s'"},
        {"slots: 7", "slots: many", ResultCode::kWrongType, 6, "whole number"},
        {"slots: 7", "slots: 7.5", ResultCode::kWrongType, 6, "whole number"},
        {"slots: 7", "slots: [7]", ResultCode::kWrongType, 6, "whole number"},
        {"slots: 7", "slots: 0", ResultCode::kOutOfBounds, 6, "1 to 100000"},
        {"slots: 7", "slots: 99999999999999999999", ResultCode::kWrongType, 6,
         "1 to 100000"},
        {"slots: 7, ", "", ResultCode::kMissingKey, 6, "'slots'"},
        {"state: leaving", "state: going", ResultCode::kWrongType, 7,
         "serving or leaving"},
        {"\"127.0.0.1:7011\"", "\"127.0.0.256:7011\"", ResultCode::kBadAddress,
         6, "192.0.2.1:5683"},
        {"\"127.0.0.1:7011\"", "localhost", ResultCode::kBadAddress, 6,
         "192.0.2.1:5683"},
        {"127.0.0.1:5684", "127.0.0.1:5683", ResultCode::kDuplicateAddress, 11,
         "line 4"},
        {"127.0.0.1:5684", "127.0.0.1:0", ResultCode::kBadAddress, 11,
         "192.0.2.1:5683"},
        {"node: 21", "node: 11", ResultCode::kDuplicateNode, 13, "line 6"},
        {"name: diagrams", "name: claims", ResultCode::kDuplicateService, 10,
         "line 3"},
        {"name: diagrams", "name: Diagrams", ResultCode::kBadName, 10,
         "lower-case"},
        {"name: diagrams", "name: ''", ResultCode::kBadName, 10, "1 to 63"},
        {"customer: workshops", "customer: gardens", ResultCode::kKeyMismatch,
         1, "'workshops'"},
        {"session_max_age_s: 20", "name: claims", ResultCode::kDuplicateKey, 9,
         "'name'"},
        {"queue_time_ms: 150", "queue_time_ms: 5000", ResultCode::kOutOfBounds,
         3, "queue_time_ms"},
        {"idempotent_posts: true", "idempotent_posts: 1",
         ResultCode::kWrongType, 14, "true or false"},
        {"limits: {", "limits: [", ResultCode::kYamlSyntax, 8, ""},
        {"limits: {request_rate: 500, queue_time_ms: 150, deadline_ms: 4000}",
         "limits:", ResultCode::kWrongType, 8, "has no value"},
        {"limits: {request_rate: 500, queue_time_ms: 150, deadline_ms: 4000}",
         "limits: 500", ResultCode::kWrongType, 8, "keys and values"},
        {"addresses: [\"127.0.0.1:5684\"]", "addresses: []",
         ResultCode::kOutOfBounds, 11, "1 to 64"},
        {"addresses: [\"127.0.0.1:5684\"]", "addresses: \"127.0.0.1:5684\"",
         ResultCode::kWrongType, 11, "a list"},
    };
    for (const InvalidEdit& edit : edits) {
      const auto contract = ParseContract("workshops", ApplyEdit(edit));
      CPPUNIT_ASSERT_MESSAGE(edit.to, !contract.has_value());
      const Error& error = contract.error().front();
      const std::string outcome = edit.to + " gave " + ToString(error);
      CPPUNIT_ASSERT_MESSAGE(outcome, edit.code == error.code);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome, edit.line, error.line);
      CPPUNIT_ASSERT_MESSAGE(outcome, error.detail.find(edit.expected_detail) !=
                                          std::string::npos);
    }
  }

  void AllErrorsAreListed() {
    const auto contract = ParseContract("workshops", R"(customer: workshops
colour: green
services:
  - name: claims
    addresses: ["nowhere"]
    servers:
      - {node: 0, zone: north-1, agent: "127.0.0.1:7011", slots: 7, connections: x}
)");
    CPPUNIT_ASSERT(!contract.has_value());
    const std::vector<Error>& errors = contract.error();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, errors.size());
    CPPUNIT_ASSERT(ResultCode::kUnknownKey == errors[0].code);
    CPPUNIT_ASSERT(ResultCode::kBadAddress == errors[1].code);
    CPPUNIT_ASSERT(ResultCode::kOutOfBounds == errors[2].code);
    CPPUNIT_ASSERT(ResultCode::kWrongType == errors[3].code);
  }

  void FirstErrorParserIsAContractParser() {
    const ContractParser parser = &ParseContractToFirstError;
    CPPUNIT_ASSERT(parser("workshops", kValidContract).has_value());
    const auto rejected = parser("gardens", kValidContract);
    CPPUNIT_ASSERT(!rejected.has_value());
    CPPUNIT_ASSERT(ResultCode::kKeyMismatch == rejected.error().code);
  }

  void InvalidOrOversizeTextIsRejected() {
    const std::vector<std::string> texts = {
        "",
        "# nothing\n",
        "just words",
        "- a\n- list\n",
        "customer: &x workshops\nservices: *x\n",
        "customer: workshops\nservices: *none\n",
        "? [a, b]\n: c\n",
        "customer: workshops\n---\ncustomer: workshops\n",
        std::string("customer: \0\x01\xFF\n", 14),
        RepeatText("[", 500000),
        RepeatText("{", 500000),
        RepeatText("{a: ", 200000),
        RepeatText("- ", 300000),
        RepeatText("? ", 300000),
        RepeatText("a: \n ", 100000),
        RepeatText("!", 500000),
        "a: [" + RepeatText("1,", 400000) + "]",
        RepeatText("x", 2000000),
    };
    for (const std::string& text : texts) {
      CPPUNIT_ASSERT_MESSAGE(text.substr(0, 40),
                             !ParseContract("workshops", text).has_value());
    }
  }

  void TruncatedTextNeverCrashes() {
    const std::string valid_text = kValidContract;
    for (std::size_t length = 0; length < valid_text.size(); ++length) {
      const auto contract =
          ParseContract("workshops", valid_text.substr(0, length));
      CPPUNIT_ASSERT(contract.has_value() || !contract.error().empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContractParserTest);

}  // namespace
}  // namespace cactuscross
