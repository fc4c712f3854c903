#include "src/core/agent/ticket_system.h"

#include <algorithm>
#include <utility>

#include "src/core/common/reply.h"

namespace cactuscross {
namespace {

// Max total bytes of all incomplete bodies that arrive in blocks at one agent.
constexpr std::size_t kMaxReceivingBytes = 16U << 20U;
// Within this time after its expiry, an unknown ticket is known to be unused,
// since the record of a used one would still exist: it is kept for
// kOutcomeLifetime, 262 s, and the ticket expires at most 15 s after its use.
constexpr Duration kNeverUsedTime = std::chrono::seconds(240);

bool SameExchange(const ExchangeKey& a, const Origin& b) {
  // The address is not compared: a caller behind address translation (NAT) may
  // retransmit from another address.
  return a.token == b.token && a.message_id == b.message_id;
}

}  // namespace

bool TicketSystem::RequiresTicket(const CoapMessage& message) const {
  if (message.block1) {
    return true;
  }
  const ServiceView view = this->context.View();
  const bool idempotent_posts = view && view.service->idempotent_posts;
  return message.code == CoapCode::kPost && !idempotent_posts;
}

bool TicketSystem::ResendTicket(const ForwardedRequest& request) {
  const TicketRecord* record =
      this->tickets.FindIssued(MakeIssueKey(request.caller, request.message));
  if (record == nullptr) {
    return false;
  }
  const bool new_body = request.message.block1 &&
                        request.message.block1->number == 0 &&
                        record->state != TicketState::kIssued &&
                        record->state != TicketState::kReceiving;
  if (new_body) {
    return false;
  }
  this->SendTicket(request, *record);
  return true;
}

void TicketSystem::SendTicket(const ForwardedRequest& request,
                              const TicketRecord& record) {
  const ServiceView view = this->context.View();
  const Duration expiry =
      record.issued_at + kTicketLifetime - *this->context.started;
  Ticket ticket;
  ticket.agent = this->context.Self();
  ticket.incarnation = this->context.incarnation;
  ticket.sequence = record.sequence;
  ticket.expiry_s = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(expiry).count());
  ticket.contract_version =
      view ? static_cast<std::uint32_t>(view.active->version) : 0;
  CoapMessage reply = MakeReply(request.message, CoapCode::kUnauthorized);
  reply.echo = EncodeTicket(ticket, this->context.ticket_key);
  this->replier.Send(MakeOrigin(request), std::move(reply));
}

void TicketSystem::Issue(const ForwardedRequest& request) {
  ResultCode code = this->requests.CheckNew(request.message);
  if (code == ResultCode::kOk && this->tickets.size() >= kMaxTickets) {
    code = ResultCode::kRefusedMemory;
  }
  if (code != ResultCode::kOk) {
    this->replier.Refuse(MakeOrigin(request), request.message, code,
                         this->requests.RetryAfter(code));
    return;
  }
  const TicketRecord& record = this->tickets.Issue(
      this->context.now, MakeIssueKey(request.caller, request.message));
  this->context.metrics.Count("tickets_issued_total");
  this->context.Record(request.caller, request.service_address,
                       request.message.token, "ticket_issued", ResultCode::kOk,
                       this->context.Self(),
                       "admitted; the caller must repeat the request with it");
  this->SendTicket(request, record);
}

bool TicketSystem::Redeem(ForwardedRequest& request, const Ticket& ticket) {
  if (ticket.incarnation != this->context.incarnation) {
    // Only the former incarnation knew whether the request ran.
    this->replier.Refuse(MakeOrigin(request), request.message,
                         ResultCode::kOutcomeUnknown, std::nullopt);
    return true;
  }
  if (!VerifyTicket(*request.message.echo, this->context.ticket_key)) {
    this->context.metrics.Count("tickets_forged_total");
    return false;
  }
  TicketRecord* record = this->tickets.Find(ticket.sequence);
  if (record == nullptr) {
    return this->RedeemUnknown(request, ticket);
  }
  switch (record->state) {
    case TicketState::kIssued:
      if (record->issued_to.caller != request.caller) {
        return false;
      }
      if (request.message.block1) {
        this->ReceiveBlock(request, *record);
      } else {
        this->AdmitTicketed(request, *record);
      }
      return true;
    case TicketState::kReceiving:
      if (!request.message.block1 ||
          record->issued_to.caller != request.caller) {
        return false;
      }
      this->ReceiveBlock(request, *record);
      return true;
    case TicketState::kAdmitted:
    case TicketState::kDone:
    case TicketState::kInvalidated:
      return this->RedeemUsed(request, *record);
  }
  return false;
}

bool TicketSystem::RedeemUnknown(const ForwardedRequest& request,
                                 const Ticket& ticket) {
  const TimePoint expiry =
      *this->context.started + std::chrono::seconds(ticket.expiry_s);
  const bool never_used = this->context.now < expiry + kNeverUsedTime;
  const ResultCode code = never_used ? ResultCode::kRefusedTicketSpent
                                     : ResultCode::kOutcomeUnknown;
  this->replier.Refuse(MakeOrigin(request), request.message, code,
                       this->requests.RetryAfter(code));
  return true;
}

// Handles a ticket that was used. A retransmission of its own request is
// answered again. Returns false for another request that carries it, which
// needs a ticket of its own.
bool TicketSystem::RedeemUsed(ForwardedRequest& request, TicketRecord& record) {
  const Origin origin = MakeOrigin(request);
  if (record.used_by && SameExchange(*record.used_by, origin)) {
    if (record.state == TicketState::kAdmitted) {
      Request* running = this->requests.Table().Find(*record.used_by);
      if (running != nullptr) {
        this->requests.HandleRetransmission(*running);
      }
    } else {
      this->Replay(request, record);
    }
    return true;
  }
  const auto& block = request.message.block1;
  const bool same_body =
      block && record.issued_to.in_blocks && record.body_size > 0 &&
      request.message.request_tag.value_or(Bytes{}) == record.issued_to.tag &&
      (block->number > 0 ||
       request.message.message_id == record.first_block_id);
  if (!same_body) {
    return false;
  }
  if (block->more) {
    this->AcknowledgeBlock(request);
  } else if (record.state != TicketState::kAdmitted) {
    this->Replay(request, record);
  }
  return true;
}

void TicketSystem::RestartBody(const ForwardedRequest& request,
                               TicketRecord& record) {
  this->tickets.DropBody(record);
  record.first_block_id = request.message.message_id;
}

void TicketSystem::ReceiveBlock(ForwardedRequest& request,
                                TicketRecord& record) {
  const CoapBlock block = *request.message.block1;
  const std::size_t offset = block.number * block.Size();
  const bool repeated_first =
      block.number == 0 && !record.body.empty() &&
      request.message.message_id != record.first_block_id;
  if (record.body.empty() || repeated_first) {
    this->RestartBody(request, record);
  }
  const std::size_t size = offset + request.message.payload.size();
  if (offset > record.body.size()) {
    this->replier.Refuse(MakeOrigin(request), request.message,
                         ResultCode::kIncompleteBody, std::nullopt);
    return;
  }
  const ServiceView view = this->context.View();
  const std::size_t max_bytes = view ? view.service->limits.body_bytes : 0;
  if (size > max_bytes) {
    this->Invalidate(request, record, ResultCode::kRefusedBodySize);
    return;
  }
  if (this->tickets.ReceivingBytes() + request.message.payload.size() >
      kMaxReceivingBytes) {
    this->Invalidate(request, record, ResultCode::kRefusedMemory);
    return;
  }
  if (offset == record.body.size()) {
    this->tickets.AppendBody(record, request.message.payload);
  }
  this->tickets.SetState(record, TicketState::kReceiving,
                         this->context.now + kBlockTimeout);
  if (block.more) {
    this->AcknowledgeBlock(request);
    return;
  }
  request.message.payload = record.body;
  record.body_size = record.body.size();
  this->tickets.DropBody(record);
  this->AdmitTicketed(request, record);
}

void TicketSystem::AcknowledgeBlock(const ForwardedRequest& request) {
  CoapMessage reply = MakeReply(request.message, CoapCode::kContinue);
  reply.block1 = request.message.block1;
  this->replier.Send(MakeOrigin(request), std::move(reply));
}

void TicketSystem::AdmitTicketed(ForwardedRequest& request,
                                 TicketRecord& record) {
  const Origin origin = MakeOrigin(request);
  record.used_by = MakeExchangeKey(origin);
  const bool expired = this->context.now >= record.expiry;
  const ResultCode code = expired ? ResultCode::kRefusedTicketSpent
                                  : this->requests.CheckTicketed();
  if (code != ResultCode::kOk) {
    this->Invalidate(request, record, code);
    return;
  }
  const ServiceView view = this->context.View();
  this->tickets.SetState(record, TicketState::kAdmitted,
                         this->context.now + view.service->limits.deadline);
  AdmittedRequest admitted;
  admitted.origin = origin;
  admitted.idempotent = !(request.message.code == CoapCode::kPost &&
                          !view.service->idempotent_posts);
  admitted.budget = request.budget;
  admitted.ticket_sequence = record.sequence;
  admitted.hops = request.hops;
  admitted.message = std::move(request.message);
  this->requests.Admit(std::move(admitted));
}

// Refuses the request and stores the refusal as the outcome, so that the ticket
// can never be used afterwards.
void TicketSystem::Invalidate(const ForwardedRequest& request,
                              TicketRecord& record,
                              ResultCode code) {
  const Origin origin = MakeOrigin(request);
  record.used_by = MakeExchangeKey(origin);
  record.outcome = MakeErrorOutcome(code, this->requests.RetryAfter(code));
  this->tickets.DropBody(record);
  this->tickets.SetState(record, TicketState::kInvalidated,
                         this->context.now + kOutcomeLifetime);
  this->context.metrics.Count("tickets_burned_total");
  this->replier.Refuse(origin, request.message, code,
                       record.outcome.retry_after_s);
}

void TicketSystem::Replay(const ForwardedRequest& request,
                          const TicketRecord& record) {
  this->context.metrics.Count("outcomes_replayed_total");
  this->replier.Send(MakeOrigin(request),
                     MakeOutcomeReply(request.message, record.outcome));
}

void TicketSystem::Tick() {
  this->tickets.Expire(this->context.now);
}

}  // namespace cactuscross
