#ifndef CACTUSCROSS_SRC_CORE_AGENT_TICKET_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_TICKET_SYSTEM_H_

// Non-idempotent requests and bodies in blocks: issues tickets, takes used
// ones to admission at most once, and answers repeats with the outcome.

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

  // True if `message` may only run with a ticket.
  bool RequiresTicket(const CoapMessage& message) const;

  // Answers with the ticket already issued to this request, if there is one.
  bool ResendTicket(const ForwardedRequest& request);

  // Issues a ticket, or refuses as not run.
  void Issue(const ForwardedRequest& request);

  // Takes a request whose Echo names this agent. Returns false if the Echo
  // value is no ticket of this agent for this request: it then counts as a
  // request without ticket.
  bool Redeem(ForwardedRequest& request, const Ticket& ticket);

  // Drops records whose time is over.
  void Tick();

 private:
  void SendTicket(const ForwardedRequest& request, const TicketRecord& record);
  bool RedeemUnknown(const ForwardedRequest& request, const Ticket& ticket);
  bool RedeemUsed(ForwardedRequest& request, TicketRecord& record);
  void ReceiveBlock(ForwardedRequest& request, TicketRecord& record);
  void RestartBody(const ForwardedRequest& request, TicketRecord& record);
  void AcknowledgeBlock(const ForwardedRequest& request);
  void AdmitUsed(ForwardedRequest& request, TicketRecord& record);
  void Invalidate(const ForwardedRequest& request,
                  TicketRecord& record,
                  ResultCode code);
  void Replay(const ForwardedRequest& request, const TicketRecord& record);

  AgentContext& context;
  Replier& replier;
  RequestSystem& requests;
  TicketTable& tickets;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_TICKET_SYSTEM_H_
