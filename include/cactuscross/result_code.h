#ifndef CACTUSCROSS_RESULT_CODE_H_
#define CACTUSCROSS_RESULT_CODE_H_

// Numbered result codes. Each has one row in the table of result_code.cc and
// one in docs/ERRORS.md; a test compares the two.

#include <cstdint>
#include <string>
#include <string_view>

#include <gsl/span>

#include "cactuscross/coap_message.h"

namespace cactuscross {

enum class ResultCode : std::uint16_t {
  kOk = 0,
  // 1xx: settings, contracts and command line.
  kFileUnreadable = 101,
  kYamlSyntax = 102,
  kUnknownKey = 103,
  kWrongType = 104,
  kMissingKey = 105,
  kOutOfBounds = 106,
  kBadAddress = 107,
  kDuplicateCustomer = 108,
  kDuplicateAddress = 109,
  kDuplicateNode = 110,
  kBadName = 111,
  kBadCommandLine = 112,
  kPeerUnreachable = 113,
  kKeyMismatch = 114,
  kDuplicateKey = 115,
  kDuplicateService = 116,
  // 2xx: refused; the request is known not to have run.
  kRefusedRate = 201,
  kRefusedInFlight = 202,
  kRefusedSessions = 203,
  kRefusedQueue = 204,
  kRefusedLeaving = 205,
  kRefusedServer = 206,
  kRefusedBodySize = 207,
  kRefusedNotReady = 208,
  kRefusedTicketSpent = 209,
  kRefusedNoServer = 210,
  kRefusedDeadline = 211,
  kRefusedMemory = 212,
  // 3xx: not refused, but failed or without a known outcome.
  kOutcomeUnknown = 301,
  kServerFailed = 302,
  kDeadlineExceeded = 303,
  kBodyChanged = 304,
  kServerAnswerTooLarge = 305,
  // 4xx: routing and isolation.
  kNoSuchService = 401,
  kWrongService = 402,
  kStaleContract = 403,
  kServerNotVerified = 404,
  kTicketRequired = 405,
  kHopLimit = 406,
  // 5xx: malformed input.
  kMalformedDatagram = 501,
  kMalformedEnvelope = 502,
  kUnknownPeer = 503,
  kIncompleteBody = 504,
  kUnsupportedOption = 505,
  kUnsupportedMethod = 506,
  // 6xx: membership and configuration.
  kContractRejected = 601,
  kOlderVersion = 602,
  kPlatformUnreachable = 603,
};

// One row of the table of result codes.
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  CoapCode coap_code;     // sent to callers; kEmpty if never sent
  bool not_run;           // true if it guarantees the request did not run
  std::string_view text;  // cause and remedy, for operators
};

// Returns the whole table, ordered by number.
gsl::span<const ResultCodeRow> ResultCodeTable();

// Returns the row of `code`.
const ResultCodeRow& GetRow(ResultCode code);

// An error with its source location, for tl::expected.
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string detail;  // the invalid value and what to write instead
  std::string file;    // empty: no file
  int line = 0;        // starts at 1; 0: no line
};

// Formats "file:line: E103 unknown_key: detail".
std::string ToString(const Error& error);

}  // namespace cactuscross

#endif  // CACTUSCROSS_RESULT_CODE_H_
