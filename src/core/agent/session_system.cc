#include "src/core/agent/session_system.h"

#include <algorithm>
#include <utility>

#include "src/core/common/reply.h"

namespace cactuscross {
namespace {

constexpr Duration kMinPollInterval = std::chrono::milliseconds(500);
constexpr Duration kPollTimeout = std::chrono::seconds(2);
// Polls use at most 1/kPollShareDivisor of the server's capacity.
constexpr std::int64_t kPollShareDivisor = 5;
// Interval at which resources are scanned for due polls and sessions for due
// notifications.
constexpr Duration kScanInterval = std::chrono::milliseconds(100);
// Notifications in each Max-Age. RFC 7641 requires one; the others compensate
// for lost notifications.
constexpr std::uint32_t kNotificationsPerMaxAge = 3;
// One in this many notifications of an unchanged state is confirmable, to
// detect callers that have disappeared.
constexpr std::uint32_t kConfirmableEvery = 4;
// A registration for which the state is still unknown after this time gets an
// empty acknowledgement; the response is then separate.
constexpr Duration kAcknowledgeAfter = std::chrono::seconds(1);
// A registration for which the state is still unknown after this time is
// refused.
constexpr Duration kRegistrationTimeout = std::chrono::seconds(5);
// Observe values have 24 bits. A value is newer than another one if it is ahead
// of it by less than half of the range (RFC 7641, 3.4).
constexpr std::uint32_t kSequenceMask = 0xFFFFFF;
constexpr std::uint32_t kSequenceHalf = 1U << 23U;
// Observe values skipped at a handover, so that a late notification of the
// former agent is older than every notification of the new one.
constexpr std::uint32_t kHandoverSequenceStep = 4096;
// Max-Age while the contract is unknown, seconds.
constexpr std::uint32_t kDefaultMaxAgeS = 30;

}  // namespace

std::uint32_t SessionSystem::MaxAge() const {
  const ServiceView view = this->context.View();
  return view ? view.service->session_max_age_s : kDefaultMaxAgeS;
}

// Observe values follow the wall clock in milliseconds, so that they also
// increase when a session is reopened at an agent without the state of the
// former one. The value is the time at which the poll of the state began, not
// the time of sending: an agent that resumes after a pause may send an old
// state later than its successor sent a newer one.
std::uint32_t SessionSystem::NextSequence(const Session& session) const {
  const Duration since_start =
      session.resource->body_poll_began - *this->context.started;
  const std::uint64_t wall_us = ToNumber(this->context.incarnation) +
                                static_cast<std::uint64_t>(since_start.count());
  constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
  const auto wall = static_cast<std::uint32_t>(
      (wall_us / kMicrosecondsPerMillisecond) & kSequenceMask);
  const std::uint32_t ahead = (wall - session.sequence) & kSequenceMask;
  if (session.sequence == 0 || (ahead > 0 && ahead < kSequenceHalf)) {
    return wall;
  }
  return (session.sequence + 1) & kSequenceMask;
}

ResultCode SessionSystem::CheckNew(ResultCode server_check) const {
  if (server_check != ResultCode::kOk) {
    return server_check;
  }
  const ContractServer* own = this->context.OwnServer();
  const std::size_t connections = own == nullptr ? 0 : own->connections;
  const std::size_t max_sessions =
      std::min<std::size_t>(connections, this->limits.SessionShare());
  return this->table.size() < max_sessions ? ResultCode::kOk
                                           : ResultCode::kRefusedSessions;
}

bool SessionSystem::Refresh(const ForwardedRequest& request) {
  Session* session = this->table.Find({request.caller, request.message.token});
  if (session == nullptr || session->handover) {
    return false;
  }
  const ResourceKey requested{request.message.uri_path,
                              request.message.uri_query};
  if (session->resource->key != requested) {
    // The caller has reused the token for another resource.
    this->Cancel(request.caller, request.message.token);
    return false;
  }
  const bool is_retransmission =
      !session->answered &&
      session->origin.message_id == request.message.message_id;
  if (is_retransmission) {
    return true;
  }
  session->origin = MakeOrigin(request);
  session->answered = false;
  session->acknowledged = false;
  session->registered = this->context.now;
  this->Answer(*session);
  return true;
}

void SessionSystem::Register(const ForwardedRequest& request) {
  const CoapMessage& message = request.message;
  Session& session = this->table.Add({request.caller, message.token},
                                     {message.uri_path, message.uri_query});
  session.origin = MakeOrigin(request);
  session.registered = this->context.now;
  session.last_notified = this->context.now;
  this->context.metrics.Count("sessions_opened_total");
  this->context.Record(request.caller, request.service_address, message.token,
                       "session_opened", ResultCode::kOk, this->context.Self(),
                       "least loaded of the sampled agents");
  this->Answer(session);
}

// Answers a registration if a sufficiently recent state is known. Otherwise
// schedules a poll, whose result answers it.
void SessionSystem::Answer(Session& session) {
  Resource& resource = *session.resource;
  const bool fresh =
      resource.body != nullptr && !session.poll_required_since &&
      this->context.now - resource.last_polled <= 2 * this->PollInterval();
  if (!fresh) {
    resource.next_poll = this->context.now;
    return;
  }
  CoapMessage reply = this->MakeNotification(session);
  session.answered = true;
  session.last_notified = this->context.now;
  if (session.acknowledged) {
    session.confirmable =
        this->replier.SendConfirmable(session.origin, std::move(reply));
    session.last_message_id = *session.confirmable;
    return;
  }
  const CoapMessage header =
      MakeReply(MakeRequestHeader(session.origin), reply.code);
  reply.type = header.type;
  reply.message_id = header.message_id;
  this->replier.Send(session.origin, std::move(reply));
}

CoapMessage SessionSystem::MakeNotification(Session& session) {
  const Resource& resource = *session.resource;
  session.sequence = this->NextSequence(session);
  CoapMessage message;
  message.code = resource.code;
  message.token = session.key.second;
  message.observe = session.sequence;
  message.max_age = this->MaxAge();
  FillBlock(*resource.body, std::nullopt, message);
  if (message.block2) {
    CoapMessage request;
    request.uri_path = resource.key.first;
    request.uri_query = resource.key.second;
    this->bodies.Store(this->context.now, session.key.first, request,
                       resource.body);
  }
  return message;
}

void SessionSystem::Notify(Session& session, bool confirmable) {
  if (session.confirmable) {
    // RFC 7641, 4.5.2: the newer state replaces the one in flight.
    this->replier.StopRetransmission({session.key.first, *session.confirmable});
    session.confirmable.reset();
  }
  session.last_notified = this->context.now;
  ++session.notifications;
  CoapMessage message = this->MakeNotification(session);
  if (confirmable) {
    session.confirmable =
        this->replier.SendConfirmable(session.origin, std::move(message));
    session.last_message_id = *session.confirmable;
  } else {
    session.last_message_id =
        this->replier.SendNonConfirmable(session.origin, std::move(message));
  }
  this->context.metrics.Count("notifications_total");
}

bool SessionSystem::Cancel(const Endpoint& caller, ByteView token) {
  Session* session =
      this->table.Find({caller, Bytes(token.begin(), token.end())});
  if (session == nullptr) {
    return false;
  }
  this->CancelPendingNotification(*session);
  this->table.Erase(*session);
  this->context.metrics.Count("sessions_cancelled_total");
  return true;
}

void SessionSystem::CancelPendingNotification(Session& session) {
  if (session.confirmable) {
    this->replier.StopRetransmission({session.key.first, *session.confirmable});
    session.confirmable.reset();
  }
}

bool SessionSystem::HandleAcknowledgement(const ConfirmableKey& key) {
  if (!this->replier.Acknowledge(key)) {
    return false;
  }
  Session* session = this->table.FindByMessage(key.first, key.second);
  if (session != nullptr) {
    session->confirmable.reset();
  }
  return true;
}

bool SessionSystem::HandleReset(const ConfirmableKey& key) {
  const bool was_pending = this->replier.Acknowledge(key);
  Session* session = this->table.FindByMessage(key.first, key.second);
  if (session != nullptr) {
    session->confirmable.reset();
    this->Cancel(session->key.first, Bytes(session->key.second));
  }
  return was_pending || session != nullptr;
}

void SessionSystem::HandleUnacknowledged(const ConfirmableKey& key) {
  Session* session = this->table.FindByMessage(key.first, key.second);
  if (session != nullptr && session->confirmable == key.second) {
    session->confirmable.reset();
    this->context.metrics.Count("sessions_lost_total");
    this->Cancel(session->key.first, Bytes(session->key.second));
  }
}

// Spaces polls so that together they use at most 1/kPollShareDivisor of the
// server.
Duration SessionSystem::PollInterval() const {
  const ServerMonitor& server = this->context.server;
  const auto resources = static_cast<std::int64_t>(this->table.ResourceCount());
  const auto slots = static_cast<std::int64_t>(
      std::max<std::uint32_t>(server.UsableSlots(), 1));
  return std::max<Duration>(kMinPollInterval, server.ServiceTime() * resources *
                                                  kPollShareDivisor / slots);
}

void SessionSystem::Poll(Resource& resource) {
  resource.next_poll = this->context.now + this->PollInterval();
  if (resource.poll || !this->context.server.Verified()) {
    return;
  }
  ServerCall call;
  call.id = this->context.NextCallId();
  call.method = CoapCode::kGet;
  call.path = resource.key.first;
  call.query = resource.key.second;
  call.timeout = kPollTimeout;
  resource.poll = call.id;
  resource.poll_began = this->context.now;
  this->polls[call.id] = resource.key;
  this->calls.Start(std::move(call));
}

bool SessionSystem::HandleResult(ServerResult& result) {
  const auto found = this->polls.find(result.id);
  if (found == this->polls.end()) {
    return false;
  }
  auto& resources = this->table.Resources();
  const auto entry = resources.find(found->second);
  this->polls.erase(found);
  if (entry == resources.end()) {
    return true;
  }
  Resource& resource = entry->second;
  resource.poll.reset();
  if (resource.observers.empty()) {
    resources.erase(entry);
    return true;
  }
  if (result.status != ServerCallStatus::kAnswered || result.not_run ||
      result.truncated) {
    return true;  // the known state remains valid until the next poll
  }
  const Outcome outcome = MakeServerOutcome(CoapCode::kGet, result);
  if (outcome.body == nullptr) {
    return true;
  }
  if (outcome.coap_code != CoapCode::kContent) {
    this->EndAll(resource, outcome);
    return true;
  }
  const bool changed =
      resource.body == nullptr || resource.body->etag != outcome.body->etag;
  resource.last_polled = this->context.now;
  resource.body_poll_began = resource.poll_began;
  if (changed) {
    resource.body = outcome.body;
  }
  for (Session& session : resource.observers) {
    if (!session.handover) {
      this->NotifyAfterPoll(session, changed);
    }
  }
  return true;
}

void SessionSystem::NotifyAfterPoll(Session& session, bool changed) {
  Resource& resource = *session.resource;
  if (session.poll_required_since) {
    if (resource.poll_began < *session.poll_required_since) {
      resource.next_poll = this->context.now;
      return;
    }
    session.poll_required_since.reset();
    changed = true;
  }
  if (!session.answered) {
    this->Answer(session);
  } else if (changed) {
    this->Notify(session, true);
  }
}

// Ends all sessions on a resource for which the server returned another code
// than 2.05 (Content), by a notification with that code (RFC 7641, 3.2).
void SessionSystem::EndAll(Resource& resource, const Outcome& outcome) {
  std::vector<SessionKey> keys;
  for (const Session& session : resource.observers) {
    keys.push_back(session.key);
  }
  for (const SessionKey& key : keys) {
    this->End(*this->table.Find(key), outcome);
  }
}

void SessionSystem::End(Session& session, const Outcome& outcome) {
  CoapMessage reply =
      MakeOutcomeReply(MakeRequestHeader(session.origin), outcome);
  if (session.answered || session.acknowledged) {
    this->replier.SendConfirmable(session.origin, std::move(reply));
  } else {
    this->replier.Send(session.origin, std::move(reply));
  }
  const SessionKey key = session.key;
  this->Cancel(key.first, key.second);
}

void SessionSystem::Tick() {
  if (this->context.now < this->next_scan) {
    return;
  }
  this->next_scan = this->context.now + kScanInterval;
  for (auto& [key, resource] : this->table.Resources()) {
    if (this->context.now >= resource.next_poll) {
      this->Poll(resource);
    }
  }
  std::vector<SessionKey> refused;
  for (auto& [key, session] : this->table.All()) {
    if (session.handover) {
      continue;
    }
    if (session.answered) {
      this->NotifyIfDue(session);
    } else if (this->context.now - session.registered > kRegistrationTimeout) {
      refused.push_back(key);
    } else {
      this->AcknowledgeIfSlow(session);
    }
  }
  for (const SessionKey& key : refused) {
    this->End(*this->table.Find(key),
              MakeErrorOutcome(ResultCode::kRefusedServer,
                               this->context.RetryAfter(1)));
  }
}

// Sends a periodic notification if one is due. An outdated state is not sent,
// because a caller would take it for a current one.
void SessionSystem::NotifyIfDue(Session& session) {
  const Duration max_age = std::chrono::seconds(this->MaxAge());
  const Duration notification_interval = max_age / kNotificationsPerMaxAge;
  const Resource& resource = *session.resource;
  const bool fresh =
      resource.body != nullptr &&
      this->context.now - resource.last_polled < notification_interval;
  const bool due =
      this->context.now - session.last_notified >= notification_interval;
  if (fresh && due && !session.confirmable && !session.poll_required_since) {
    this->Notify(session, session.notifications % kConfirmableEvery == 0);
  }
}

void SessionSystem::AcknowledgeIfSlow(Session& session) {
  const bool confirmable = session.origin.type == CoapType::kConfirmable;
  const bool slow = this->context.now - session.registered > kAcknowledgeAfter;
  if (!slow || !confirmable || session.acknowledged) {
    return;
  }
  session.acknowledged = true;
  this->replier.Send(session.origin,
                     MakeEmptyReply(MakeRequestHeader(session.origin),
                                    CoapType::kAcknowledgement));
}

void SessionSystem::TakeOver(const PeerAddress& balancer,
                             const SessionOffer& offer) {
  this->Cancel(offer.caller, offer.token);
  Session& session = this->table.Add({offer.caller, offer.token},
                                     {offer.uri_path, offer.uri_query});
  session.origin = {
      offer.caller, offer.service_address, balancer, CoapType::kConfirmable, 0,
      offer.token};
  session.sequence =
      (offer.observe_sequence + kHandoverSequenceStep) & kSequenceMask;
  session.epoch = offer.epoch;
  session.answered = true;
  session.registered = this->context.now;
  session.last_notified = this->context.now;
  this->context.metrics.Count("sessions_taken_over_total");
  this->context.Record(
      offer.caller, offer.service_address, offer.token, "session_taken_over",
      ResultCode::kOk, this->context.Self(),
      "offered by an agent that leaves or whose server is unavailable");
  session.poll_required_since = this->context.now;
  session.resource->next_poll = this->context.now;
}

}  // namespace cactuscross
