#ifndef CACTUSCROSS_SRC_CORE_AGENT_TICKET_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_TICKET_SYSTEM_H_

// Handles non-idempotent requests and bodies in blocks: issues tickets, admits
// at most one request per ticket, and answers retransmissions with the stored
// outcome.

#include "src/core/agent/request_system.h"

namespace cactuscross {

class TicketSystem {
 public:
  TicketSystem(AgentContext& agent_context,
               Replier& agent_replier,
               RequestSystem& request_system,
               TicketTable& ticket_table)
      : context(agent_context),
        replier(agent_replier),
        requests(request_system),
        tickets(ticket_table) {}

  // True if `message` may run only with a ticket.
  bool RequiresTicket(const CoapMessage& message) const;

  // Sends the ticket that was already issued to this request. Returns false if
  // there is none.
  bool ResendTicket(const ForwardedRequest& request);

  // Issues a ticket, or refuses the request as not run.
  void Issue(const ForwardedRequest& request);

  // Handles a request whose Echo option names this agent. Returns false if the
  // Echo value is not a ticket of this agent for this request. The request is
  // then treated as one without a ticket.
  bool Redeem(ForwardedRequest& request, const Ticket& ticket);

  // Drops expired records.
  void Tick();

 private:
  void SendTicket(const ForwardedRequest& request, const TicketRecord& record);
  bool RedeemUnknown(const ForwardedRequest& request, const Ticket& ticket);
  bool RedeemUsed(ForwardedRequest& request, TicketRecord& record);
  void ReceiveBlock(ForwardedRequest& request, TicketRecord& record);
  // Discards the blocks received so far: `request` carries the first block.
  void RestartBody(const ForwardedRequest& request, TicketRecord& record);
  void AcknowledgeBlock(const ForwardedRequest& request);
  // Admits the request that redeems the ticket, or refuses it and invalidates
  // the ticket.
  void AdmitTicketed(ForwardedRequest& request, TicketRecord& record);
  void Invalidate(const ForwardedRequest& request,
                  TicketRecord& record,
                  ResultCode code);
  // Answers a retransmission with the stored outcome.
  void Replay(const ForwardedRequest& request, const TicketRecord& record);

  AgentContext& context;
  Replier& replier;
  RequestSystem& requests;
  TicketTable& tickets;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_TICKET_SYSTEM_H_
