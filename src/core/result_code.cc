#include "cactuscross/result_code.h"

#include <algorithm>
#include <array>

namespace cactuscross {
namespace {

constexpr CoapCode kNone = CoapCode::kEmpty;

constexpr std::array kRows = {
    ResultCodeRow{ResultCode::kOk, "ok", CoapCode::kContent, false, "Done."},
    ResultCodeRow{ResultCode::kFileUnreadable, "file_unreadable", kNone, false,
                  "The file cannot be read. Check its path and permissions."},
    ResultCodeRow{ResultCode::kYamlSyntax, "yaml_syntax", kNone, false,
                  "The text is not valid YAML. Correct it at the given line."},
    ResultCodeRow{
        ResultCode::kUnknownKey, "unknown_key", kNone, false,
        "The key is not known here. Remove it or correct its spelling."},
    ResultCodeRow{ResultCode::kWrongType, "wrong_type", kNone, false,
                  "The value does not have the type that the key requires."},
    ResultCodeRow{ResultCode::kMissingKey, "missing_key", kNone, false,
                  "A key without a default is missing. Add it."},
    ResultCodeRow{ResultCode::kOutOfBounds, "out_of_bounds", kNone, false,
                  "The number is outside the given bounds."},
    ResultCodeRow{ResultCode::kBadAddress, "bad_address", kNone, false,
                  "Not an IPv4 address and port. Write \"192.0.2.1:5683\"."},
    ResultCodeRow{ResultCode::kDuplicateCustomer, "duplicate_customer", kNone,
                  false, "Two contracts name the same customer."},
    ResultCodeRow{ResultCode::kDuplicateAddress, "duplicate_address", kNone,
                  false, "Two services claim the same address."},
    ResultCodeRow{ResultCode::kDuplicateNode, "duplicate_node", kNone, false,
                  "Two servers or seeds have the same node number."},
    ResultCodeRow{
        ResultCode::kBadName, "bad_name", kNone, false,
        "A name may contain only lower-case letters, digits and '-'."},
    ResultCodeRow{ResultCode::kBadCommandLine, "bad_command_line", kNone, false,
                  "The command line is invalid. See --help."},
    ResultCodeRow{ResultCode::kPeerUnreachable, "peer_unreachable", kNone,
                  false, "The queried process does not answer."},
    ResultCodeRow{ResultCode::kKeyMismatch, "key_mismatch", kNone, false,
                  "The contract names a different customer than its key."},
    ResultCodeRow{ResultCode::kDuplicateKey, "duplicate_key", kNone, false,
                  "A key occurs twice at the same level. Remove one."},
    ResultCodeRow{ResultCode::kDuplicateService, "duplicate_service", kNone,
                  false, "Two services of a contract have the same name."},
    ResultCodeRow{ResultCode::kRefusedRate, "refused_rate",
                  CoapCode::kTooManyRequests, true,
                  "The contract's request rate is exceeded. Not run."},
    ResultCodeRow{
        ResultCode::kRefusedInFlight, "refused_in_flight",
        CoapCode::kServiceUnavailable, true,
        "The contract's limit of requests in flight is reached. Not run."},
    ResultCodeRow{ResultCode::kRefusedSessions, "refused_sessions",
                  CoapCode::kServiceUnavailable, true,
                  "No capacity for another open session. Not run."},
    ResultCodeRow{ResultCode::kRefusedQueue, "refused_queue",
                  CoapCode::kServiceUnavailable, true,
                  "No slot would be free within the queue time. Not run."},
    ResultCodeRow{ResultCode::kRefusedLeaving, "refused_leaving",
                  CoapCode::kServiceUnavailable, true,
                  "The server is leaving and accepts no new work. Not run."},
    ResultCodeRow{ResultCode::kRefusedServer, "refused_server",
                  CoapCode::kServiceUnavailable, true,
                  "The server refused the request before running it. Not run."},
    ResultCodeRow{ResultCode::kRefusedBodySize, "refused_body_size",
                  CoapCode::kRequestEntityTooLarge, true,
                  "The body is larger than the contract allows. Not run."},
    ResultCodeRow{
        ResultCode::kRefusedNotReady, "refused_not_ready",
        CoapCode::kServiceUnavailable, true,
        "The process has not received enough state to serve yet. Not run."},
    ResultCodeRow{ResultCode::kRefusedTicketSpent, "refused_ticket_spent",
                  CoapCode::kServiceUnavailable, true,
                  "The ticket expired before it was used. Not run."},
    ResultCodeRow{ResultCode::kRefusedNoServer, "refused_no_server",
                  CoapCode::kServiceUnavailable, true,
                  "No server of the service accepts new work. Not run."},
    ResultCodeRow{ResultCode::kRefusedDeadline, "refused_deadline",
                  CoapCode::kServiceUnavailable, true,
                  "The deadline passed before dispatch. Not run."},
    ResultCodeRow{ResultCode::kRefusedMemory, "refused_memory",
                  CoapCode::kServiceUnavailable, true,
                  "A table of the process is full. Not run."},
    ResultCodeRow{ResultCode::kOutcomeUnknown, "outcome_unknown",
                  CoapCode::kGatewayTimeout, false,
                  "The request may or may not have run. It is never run "
                  "again; look up the outcome before sending a new request."},
    ResultCodeRow{ResultCode::kServerFailed, "server_failed",
                  CoapCode::kBadGateway, false,
                  "The server answered with an error of its own."},
    ResultCodeRow{
        ResultCode::kDeadlineExceeded, "deadline_exceeded",
        CoapCode::kGatewayTimeout, false,
        "No answer before the deadline. The request was safe to repeat."},
    ResultCodeRow{ResultCode::kBodyChanged, "body_changed", CoapCode::kConflict,
                  false, "The body changed between blocks. Start again."},
    ResultCodeRow{ResultCode::kServerAnswerTooLarge, "server_answer_too_large",
                  CoapCode::kBadGateway, false,
                  "The server's answer is larger than the contract allows."},
    ResultCodeRow{ResultCode::kNoSuchService, "no_such_service",
                  CoapCode::kNotFound, true,
                  "No contract in force has this address. Not run."},
    ResultCodeRow{ResultCode::kWrongService, "wrong_service", kNone, true,
                  "The message is meant for another service. Not delivered."},
    ResultCodeRow{ResultCode::kStaleContract, "stale_contract", kNone, false,
                  "The sender uses an older contract and pulls the newer one."},
    ResultCodeRow{ResultCode::kServerNotVerified, "server_not_verified",
                  CoapCode::kServiceUnavailable, true,
                  "The server has not yet reported its service. Not run."},
    ResultCodeRow{
        ResultCode::kTicketRequired, "ticket_required", CoapCode::kUnauthorized,
        true, "Repeat the request with this answer's Echo option. Not run."},
    ResultCodeRow{ResultCode::kHopLimit, "hop_limit", kNone, true,
                  "Forwarded more often than the hop limit allows. Dropped."},
    ResultCodeRow{ResultCode::kMalformedDatagram, "malformed_datagram", kNone,
                  true, "Not a CoAP message. Counted and dropped."},
    ResultCodeRow{ResultCode::kMalformedEnvelope, "malformed_envelope", kNone,
                  true, "Not a valid peer message. Counted and dropped."},
    ResultCodeRow{ResultCode::kUnknownPeer, "unknown_peer", kNone, true,
                  "A message from a process that is not listed. Dropped."},
    ResultCodeRow{ResultCode::kIncompleteBody, "incomplete_body",
                  CoapCode::kRequestEntityIncomplete, true,
                  "A block of the body is missing. Start again. Not run."},
    ResultCodeRow{ResultCode::kUnsupportedOption, "unsupported_option",
                  CoapCode::kBadOption, true,
                  "A critical option is not supported. Not run."},
    ResultCodeRow{ResultCode::kUnsupportedMethod, "unsupported_method",
                  CoapCode::kMethodNotAllowed, true,
                  "Only GET, POST, PUT and DELETE are supported. Not run."},
    ResultCodeRow{
        ResultCode::kContractRejected, "contract_rejected", kNone, false,
        "A new contract version is invalid; the old one stays in force."},
    ResultCodeRow{ResultCode::kOlderVersion, "older_version", kNone, false,
                  "An older version was offered and ignored."},
    ResultCodeRow{ResultCode::kPlatformUnreachable, "platform_unreachable",
                  kNone, false, "The platform's service does not answer."},
};

}  // namespace

gsl::span<const ResultCodeRow> ResultCodeTable() {
  return kRows;
}

const ResultCodeRow& GetRow(ResultCode code) {
  const auto* found = std::find_if(
      kRows.begin(), kRows.end(),
      [code](const ResultCodeRow& row) { return row.code == code; });
  return found == kRows.end() ? kRows.front() : *found;
}

std::string ToString(const Error& error) {
  std::string text;
  if (!error.file.empty()) {
    text += error.file;
    text += error.line > 0 ? ":" + std::to_string(error.line) : "";
    text += ": ";
  } else if (error.line > 0) {
    text += "line " + std::to_string(error.line) + ": ";
  }
  text += "E" + std::to_string(ToNumber(error.code)) + " ";
  text += GetRow(error.code).name;
  return error.detail.empty() ? text : text + ": " + error.detail;
}

}  // namespace cactuscross
