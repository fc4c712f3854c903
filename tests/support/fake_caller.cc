#include "tests/support/fake_caller.h"

#include <algorithm>
#include <utility>

namespace cactuscross::testing {
namespace {

// RFC 7252, 4.8: ACK_TIMEOUT and MAX_RETRANSMIT.
constexpr Duration kAckTimeout = std::chrono::seconds(2);
constexpr int kMaxRetransmissions = 4;
// RFC 7252, 4.8.2: EXCHANGE_LIFETIME. A confirmable message with a message ID
// seen within this time is a duplicate.
constexpr Duration kExchangeLifetime = std::chrono::seconds(247);
// Time to wait for a separate response after an empty ACK.
constexpr Duration kSeparateResponseTimeout = std::chrono::seconds(90);
// RFC 7641, 3.3.1: a client registers again a random time of 5 to 15 seconds
// after Max-Age.
constexpr Duration kMinReregisterDelay = std::chrono::seconds(5);
constexpr Duration kMaxReregisterDelay = std::chrono::seconds(15);
// Max-Age of a response that gives none. A rejected registration is retried
// after Max-Age, too.
constexpr std::uint32_t kDefaultMaxAgeS = 60;
// RFC 7641, 3.4: order of notifications. Half of the sequence numbers, and the
// time after which any sequence number counts as newer.
constexpr std::uint32_t kSequenceHalf = 1U << 23U;
constexpr Duration kSequenceTimeout = std::chrono::seconds(128);
constexpr std::size_t kTokenBytes = 4;
constexpr std::size_t kRetryTokenBytes = 8;
constexpr int kMaxEchoRetries = 8;

std::string ToText(const Bytes& bytes) {
  return {bytes.begin(), bytes.end()};
}

bool IsNewer(const CallerSession& session, std::uint32_t next, TimePoint now) {
  const std::uint32_t last = session.sequence;
  if (last < next) {
    return next - last < kSequenceHalf ||
           now > session.last_received + kSequenceTimeout;
  }
  return last - next > kSequenceHalf ||
         now > session.last_received + kSequenceTimeout;
}

}  // namespace

std::uint16_t ParseResultCode(const std::string& payload) {
  if (payload.size() < 5 || payload[0] != 'E' || payload[4] != ' ' ||
      !std::all_of(payload.begin() + 1, payload.begin() + 4,
                   [](char c) { return c >= '0' && c <= '9'; })) {
    return 0;
  }
  return static_cast<std::uint16_t>(std::stoul(payload.substr(1, 3)));
}

std::uint64_t ParseDataVersion(const std::string& payload) {
  const std::size_t position = payload.find(" v");
  return position == std::string::npos
             ? 0
             : std::stoull(payload.substr(position + 2));
}

FakeCaller::FakeCaller(Link& link, Endpoint endpoint, Sender sender)
    : link(link),
      endpoint(endpoint),
      sender(std::move(sender)),
      next_message_id(static_cast<std::uint16_t>(link.GetRandom().Next())),
      next_token(link.GetRandom().Next()) {}

std::size_t FakeCaller::Get(Endpoint service_address,
                            const std::string& path,
                            const std::string& query) {
  CallerRequest request;
  request.service_address = service_address;
  request.path = path;
  request.query = query;
  return this->StartRequest(std::move(request));
}

std::size_t FakeCaller::Post(Endpoint service_address,
                             const std::string& path,
                             const std::string& body) {
  CallerRequest request;
  request.service_address = service_address;
  request.method = CoapCode::kPost;
  request.path = path;
  request.body = body;
  return this->StartRequest(std::move(request));
}

std::size_t FakeCaller::StartRequest(CallerRequest request) {
  request.start = this->link.Now();
  const std::size_t index = this->requests.size();
  Exchange exchange;
  exchange.service_address = request.service_address;
  exchange.request = index;
  exchange.message = this->MakeRequest(request.method, request.path);
  exchange.message.uri_query = request.query;
  exchange.message.payload.assign(request.body.begin(), request.body.end());
  if (this->behavior.reuses_echo && request.method == CoapCode::kPost) {
    exchange.message.echo = this->last_echo;
  }
  this->requests.push_back(std::move(request));
  this->StartExchange(std::move(exchange));
  return index;
}

std::size_t FakeCaller::Observe(Endpoint service_address,
                                const std::string& path) {
  CallerSession session;
  session.service_address = service_address;
  session.path = path;
  session.token = this->NextToken(kTokenBytes);
  session.last_received = this->link.Now();
  this->sessions.push_back(std::move(session));
  this->Register(this->sessions.size() - 1);
  return this->sessions.size() - 1;
}

void FakeCaller::Register(std::size_t session) {
  CallerSession& entry = this->sessions[session];
  ++entry.registrations;
  Exchange exchange;
  exchange.service_address = entry.service_address;
  exchange.session = session;
  exchange.message = this->MakeRequest(CoapCode::kGet, entry.path);
  exchange.message.observe = 0;
  exchange.message.token = entry.token;
  this->StartExchange(std::move(exchange));
}

void FakeCaller::Close(std::size_t session) {
  CallerSession& entry = this->sessions[session];
  entry.keep_open = false;
  entry.open = false;
  ++entry.timer_serial;
  Exchange exchange;
  exchange.service_address = entry.service_address;
  exchange.session = session;
  exchange.message = this->MakeRequest(CoapCode::kGet, entry.path);
  exchange.message.observe = 1;
  exchange.message.token = entry.token;
  this->StartExchange(std::move(exchange));
}

CoapMessage FakeCaller::MakeRequest(CoapCode method, const std::string& path) {
  CoapMessage message;
  message.code = method;
  message.message_id = this->next_message_id++;
  message.token = this->NextToken(kTokenBytes);
  message.uri_path = path;
  return message;
}

Bytes FakeCaller::NextToken(std::size_t size) {
  ++this->next_token;
  Bytes token;
  for (std::size_t i = 0; i < size; ++i) {
    token.push_back(static_cast<std::uint8_t>(this->next_token >> (8 * i)));
  }
  return token;
}

void FakeCaller::StartExchange(Exchange exchange) {
  const Bytes token = exchange.message.token;
  exchange.timeout =
      this->link.GetRandom().Between(kAckTimeout, kAckTimeout * 3 / 2);
  this->exchanges[token] = std::move(exchange);
  this->Transmit(token);
}

void FakeCaller::Transmit(const Bytes& token) {
  Exchange& exchange = this->exchanges[token];
  ++exchange.transmissions;
  this->Send(exchange.service_address, exchange.message);
  if (exchange.message.echo && this->behavior.sends_echo_twice) {
    this->Send(exchange.service_address, exchange.message);
  }
  const Duration wait = exchange.timeout;
  exchange.timeout *= 2;
  this->link.Schedule(wait,
                      [this, token, message_id = exchange.message.message_id] {
                        const auto found = this->exchanges.find(token);
                        if (found == this->exchanges.end() ||
                            found->second.message.message_id != message_id ||
                            found->second.acknowledged) {
                          return;
                        }
                        if (found->second.transmissions > kMaxRetransmissions) {
                          this->FailExchange(token);
                        } else {
                          this->Transmit(token);
                        }
                      });
}

void FakeCaller::FailExchange(const Bytes& token) {
  const Exchange exchange = this->exchanges[token];
  this->exchanges.erase(token);
  if (exchange.request) {
    CallerRequest& request = this->requests[*exchange.request];
    request.finished = true;
    request.finish = this->link.Now();
  }
  if (exchange.session && this->sessions[*exchange.session].keep_open) {
    this->ArmMaxAge(*exchange.session);
  }
}

void FakeCaller::Send(Endpoint service_address, const CoapMessage& message) {
  this->sender({this->endpoint, service_address, message});
}

void FakeCaller::SendEmpty(const CallerDatagram& datagram, CoapType type) {
  CoapMessage empty;
  empty.type = type;
  empty.message_id = datagram.message.message_id;
  this->Send(datagram.service_address, empty);
}

void FakeCaller::Receive(const CallerDatagram& datagram) {
  if (IsEmpty(datagram.message)) {
    this->OnEmpty(datagram.message);
  } else if (!IsRequest(datagram.message)) {
    this->OnResponse(datagram);
  }
}

void FakeCaller::OnEmpty(const CoapMessage& message) {
  const auto found = std::find_if(
      this->exchanges.begin(), this->exchanges.end(),
      [&message](const auto& entry) {
        return entry.second.message.message_id == message.message_id;
      });
  if (found == this->exchanges.end()) {
    return;
  }
  const Bytes token = found->first;
  if (message.type == CoapType::kReset) {
    this->FailExchange(token);
    return;
  }
  if (std::exchange(found->second.acknowledged, true)) {
    return;
  }
  this->link.Schedule(kSeparateResponseTimeout,
                      [this, token, id = message.message_id] {
                        const auto pending = this->exchanges.find(token);
                        if (pending != this->exchanges.end() &&
                            pending->second.message.message_id == id) {
                          this->FailExchange(token);
                        }
                      });
}

void FakeCaller::OnResponse(const CallerDatagram& datagram) {
  const CoapMessage& message = datagram.message;
  if (message.type == CoapType::kConfirmable) {
    const TimePoint now = this->link.Now();
    const auto seen = this->seen_confirmables.find(message.message_id);
    if (seen != this->seen_confirmables.end() &&
        now < seen->second + kExchangeLifetime) {
      this->SendEmpty(datagram, CoapType::kAcknowledgement);
      return;
    }
    this->seen_confirmables[message.message_id] = now;
  }
  const bool is_expected = this->exchanges.count(message.token) != 0;
  const bool is_session = this->OnSessionMessage(message);
  if (!is_session && is_expected) {
    this->OnRequestResponse(message.token, message);
  }
  const bool is_duplicate = this->finished_tokens.count(message.token) != 0;
  const auto past = this->answered_exchanges.find(message.token);
  if (!is_expected && this->behavior.retries_every_echo &&
      past != this->answered_exchanges.end() &&
      message.code == CoapCode::kUnauthorized) {
    this->exchanges[message.token] = past->second;
    this->RetryWithEcho(message.token, message);
  }
  if (!is_expected && !is_session && !is_duplicate) {
    ++this->unmatched_responses;
  }
  if (message.type == CoapType::kConfirmable) {
    this->SendEmpty(datagram, is_expected || is_session || is_duplicate
                                  ? CoapType::kAcknowledgement
                                  : CoapType::kReset);
  }
}

void FakeCaller::OnRequestResponse(const Bytes& token,
                                   const CoapMessage& message) {
  const Exchange exchange = this->exchanges[token];
  if (message.type == CoapType::kAcknowledgement &&
      message.message_id != exchange.message.message_id) {
    ++this->unmatched_responses;
    return;
  }
  if (!exchange.request) {
    this->exchanges.erase(token);
    return;
  }
  CallerRequest& request = this->requests[*exchange.request];
  if (message.code == CoapCode::kUnauthorized && message.echo &&
      request.echo_retries < kMaxEchoRetries) {
    this->RetryWithEcho(token, message);
    return;
  }
  this->exchanges.erase(token);
  this->finished_tokens[token] = this->link.Now();
  const bool success = message.code == CoapCode::kContent ||
                       message.code == CoapCode::kChanged ||
                       message.code == CoapCode::kCreated;
  if (success && message.block2) {
    this->FetchBlock(*exchange.request, message);
    return;
  }
  request.answer = ToText(message.payload);
  this->Finish(*exchange.request, message);
}

void FakeCaller::RetryWithEcho(const Bytes& token, const CoapMessage& message) {
  Exchange exchange = this->exchanges[token];
  this->answered_exchanges[token] = exchange;
  this->exchanges.erase(token);
  this->finished_tokens[token] = this->link.Now();
  ++this->requests[*exchange.request].echo_retries;
  this->last_echo = message.echo;
  exchange.message.echo = message.echo;
  exchange.message.message_id = this->next_message_id++;
  exchange.message.token = this->NextToken(kRetryTokenBytes);
  exchange.transmissions = 0;
  exchange.acknowledged = false;
  this->StartExchange(std::move(exchange));
}

void FakeCaller::FetchBlock(std::size_t request, const CoapMessage& message) {
  CallerRequest& entry = this->requests[request];
  if (entry.blocks > 0 && message.etag != entry.etag) {
    ++entry.body_restarts;
    entry.answer.clear();
    entry.blocks = 0;
  }
  const bool in_order =
      message.block2->number * message.block2->Size() == entry.answer.size();
  if (in_order) {
    entry.etag = message.etag;
    entry.answer += ToText(message.payload);
    ++entry.blocks;
  }
  if (in_order && !message.block2->more) {
    this->Finish(request, message);
    return;
  }
  Exchange exchange;
  exchange.service_address = entry.service_address;
  exchange.request = request;
  exchange.message = this->MakeRequest(entry.method, entry.path);
  exchange.message.uri_query = entry.query;
  CoapBlock next;
  next.size_exponent = message.block2->size_exponent;
  next.number =
      static_cast<std::uint32_t>(entry.answer.size() / message.block2->Size());
  exchange.message.block2 = next;
  this->StartExchange(std::move(exchange));
}

void FakeCaller::Finish(std::size_t request, const CoapMessage& message) {
  CallerRequest& entry = this->requests[request];
  if (entry.answered) {
    return;
  }
  entry.finished = true;
  entry.answered = true;
  entry.finish = this->link.Now();
  entry.code = message.code;
  entry.max_age = message.max_age;
  entry.result_code = ToNumber(message.code) >= ToNumber(CoapCode::kBadRequest)
                          ? ParseResultCode(entry.answer)
                          : 0;
}

bool FakeCaller::OnSessionMessage(const CoapMessage& message) {
  const auto found = std::find_if(
      this->sessions.begin(), this->sessions.end(),
      [&message](const CallerSession& s) { return s.token == message.token; });
  if (found == this->sessions.end()) {
    return false;
  }
  const auto index = static_cast<std::size_t>(found - this->sessions.begin());
  const auto exchange = this->exchanges.find(message.token);
  const bool is_response =
      exchange != this->exchanges.end() &&
      (message.type != CoapType::kAcknowledgement ||
       message.message_id == exchange->second.message.message_id);
  if (is_response) {
    this->exchanges.erase(exchange);
  } else if (message.type == CoapType::kAcknowledgement) {
    return true;
  }
  if (!found->keep_open) {
    return is_response;
  }
  if (ToNumber(message.code) >= ToNumber(CoapCode::kBadRequest) ||
      !message.observe) {
    found->result_code = ParseResultCode(ToText(message.payload));
    if (found->open && !is_response) {
      ++found->breaks;
    } else {
      ++found->refusals;
    }
    found->open = false;
    found->max_age_s = message.max_age.value_or(kDefaultMaxAgeS);
    this->ArmMaxAge(index);
    return true;
  }
  this->AcceptNotification(*found, message, is_response);
  this->ArmMaxAge(index);
  return true;
}

void FakeCaller::AcceptNotification(CallerSession& session,
                                    const CoapMessage& message,
                                    bool is_response) {
  const TimePoint now = this->link.Now();
  if (session.open && !is_response &&
      !IsNewer(session, *message.observe, now)) {
    ++session.out_of_order;
    return;
  }
  if (session.open || session.notifications > 0) {
    session.max_notification_gap =
        std::max(session.max_notification_gap, now - session.last_received);
  }
  session.open = true;
  ++session.notifications;
  session.sequence = *message.observe;
  session.last_received = now;
  session.max_age_s = message.max_age.value_or(kDefaultMaxAgeS);
  session.value = ToText(message.payload);
  const std::uint64_t version = ParseDataVersion(session.value);
  if (version < session.data_version) {
    ++session.stale_notifications;
  }
  session.data_version = version;
}

void FakeCaller::ArmMaxAge(std::size_t session) {
  const std::uint64_t serial = ++this->sessions[session].timer_serial;
  const Duration wait =
      std::chrono::seconds(this->sessions[session].max_age_s) +
      this->link.GetRandom().Between(kMinReregisterDelay, kMaxReregisterDelay);
  this->link.Schedule(wait, [this, session, serial] {
    if (this->sessions[session].timer_serial == serial &&
        this->sessions[session].keep_open) {
      this->Register(session);
    }
  });
}

}  // namespace cactuscross::testing
