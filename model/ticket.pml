/*
 * Admission tickets: issue, redemption, dispatch, invalidation, replay and
 * restart.
 *
 * Requests that are not idempotent reach agents through a network that may
 * deliver every message repeatedly, at any time and in any order, and through
 * balancers with different views: a request without a ticket may reach any
 * agent. Agents restart without stored state; a server may execute a dispatched
 * request after its agent has died. Request 1 may reuse the ticket of request
 * 0.
 *
 * Properties (assertions): a request is executed at most once; the caller never
 * accepts the answer "not run" for a request that was or will be executed, and
 * no agent sends it for a ticket whose request was or will be executed; a
 * result is accepted only for a request that was itself executed.
 *
 * Each switch -DNO_... or -D... below removes one mechanism.
 */

#ifndef AGENTS
#define AGENTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* of each agent */
#endif
#ifndef TICKETS
#define TICKETS 3
#endif
#ifndef REQUESTS
#define REQUESTS 2
#endif

/* State of a ticket in the ticket store of its agent. FORGOTTEN: evicted. */
#define ISSUED 1
#define QUEUED 2
#define DISPATCHED 3
#define DONE 4
#define INVALIDATED 5
#define UNKNOWN 6
#define FORGOTTEN 7

/* A call of an agent to its server. */
#define CALL_NONE 0
#define CALL_SENT 1
#define CALL_EXECUTED 2
#define CALL_REJECTED 3

/* Final outcome of a request at the caller. */
#define OUTCOME_PENDING 0
#define OUTCOME_RESULT 1
#define OUTCOME_NOT_RUN 2
#define OUTCOME_UNKNOWN 3

/* State of a caller's exchange: not sent, sent without a ticket, or sent with
 * ticket k as WITH_TICKET(k). */
#define UNSENT 0
#define WITHOUT_TICKET 1
#define WITH_TICKET(k) (2 + (k))

/* Key of a ticket: identifies the message that it was issued for, a request
 * without a ticket or a request with ticket k. */
#define KEY_WITHOUT_TICKET(r) (r)
#define KEY_WITH_TICKET(k, r) (REQUESTS + (k) * REQUESTS + (r))

#define PAIR(k, r) ((k) * REQUESTS + (r))

byte incarnation[AGENTS];
byte tickets;
byte ticket_agent[TICKETS];
byte ticket_incarnation[TICKETS];
byte ticket_key[TICKETS];
bit expired[TICKETS];
byte record[TICKETS];
byte bound_to[TICKETS]; /* 1 + the request that redeemed it first */
byte call[TICKETS];
byte call_request[TICKETS];

bit redeem_sent[TICKETS * REQUESTS];
bit result_sent[TICKETS * REQUESTS];
bit not_run_sent[TICKETS * REQUESTS];
bit unknown_sent[TICKETS * REQUESTS];
bit rejection_sent[REQUESTS]; /* for a request without a ticket */

byte exchange[REQUESTS];
byte outcome[REQUESTS];
byte executions[REQUESTS];

#define SAME_ISSUE(k, a, key) \
  (ticket_agent[k] == a && ticket_incarnation[k] == incarnation[a] && \
   ticket_key[k] == key)

hidden byte item;
hidden byte found;

inline Execute(k, r) {
  executions[r]++;
  assert(executions[r] <= 1);
  assert(outcome[r] != OUTCOME_NOT_RUN);
  assert(!not_run_sent[PAIR(k, r)])
}

/* Issues the same ticket for the same message within one incarnation. */
inline Issue(a, key) {
  found = TICKETS;
#ifndef NO_IDEMPOTENT_ISSUE
  item = 0;
  do
  :: item < tickets ->
     if
     :: SAME_ISSUE(item, a, key) -> found = item
     :: else
     fi;
     item++
  :: else -> break
  od;
#endif
  if
  :: found == TICKETS && tickets < TICKETS ->
     ticket_agent[tickets] = a;
     ticket_incarnation[tickets] = incarnation[a];
     ticket_key[tickets] = key;
     record[tickets] = ISSUED;
     tickets++
  :: else
  fi
}

inline SendNotRun(k, r) {
  not_run_sent[PAIR(k, r)] = 1
}

inline Invalidate(k, r) {
#ifndef NO_BURN
  record[k] = INVALIDATED;
  bound_to[k] = r + 1;
#endif
  SendNotRun(k, r)
}

/* A request with an unredeemed ticket is rejected or queued. */
inline Admit(k, r) {
  if
  :: expired[k] -> Invalidate(k, r)
  :: !expired[k] -> Invalidate(k, r)
  :: !expired[k] -> record[k] = QUEUED; bound_to[k] = r + 1
  fi
}

inline ResendOutcome(k, r) {
  if
  :: record[k] == DONE -> result_sent[PAIR(k, r)] = 1
  :: record[k] == INVALIDATED -> SendNotRun(k, r)
  :: record[k] == UNKNOWN -> unknown_sent[PAIR(k, r)] = 1
  :: else
  fi
}

/* A request with ticket k reaches the agent incarnation that issued k. */
inline RedeemHere(k, r) {
  if
  :: record[k] == ISSUED -> Admit(k, r)
  :: record[k] == FORGOTTEN ->
#ifdef FORGET_EARLY
     if
     :: !expired[k] -> Admit(k, r)
     :: else -> unknown_sent[PAIR(k, r)] = 1
     fi
#else
#ifdef NOT_RUN_WHEN_FORGOTTEN
     SendNotRun(k, r)
#else
     unknown_sent[PAIR(k, r)] = 1
#endif
#endif
  :: else ->
#ifdef NO_BINDING
     ResendOutcome(k, r)
#else
     if
     :: bound_to[k] == r + 1 -> ResendOutcome(k, r)
     :: else -> Issue(ticket_agent[k], KEY_WITH_TICKET(k, r))
     fi
#endif
  fi
}

inline Redeem(k, r) {
  if
  :: incarnation[ticket_agent[k]] == ticket_incarnation[k] -> RedeemHere(k, r)
  :: else ->
#ifdef NO_INCARNATION_CHECK
     call[k] = CALL_SENT;
     call_request[k] = r
#else
#ifdef REISSUE_WHEN_LOST
     Issue(ticket_agent[k], KEY_WITH_TICKET(k, r))
#else
     unknown_sent[PAIR(k, r)] = 1
#endif
#endif
  fi
}

#define SAME_INCARNATION(k) \
  ((k) < tickets && incarnation[ticket_agent[k]] == ticket_incarnation[k])

/* Delivery by the network, per ticket and request. */
#define DELIVER(k, r) \
  :: atomic { redeem_sent[PAIR(k, r)] -> Redeem(k, r) } \
  :: atomic { exchange[r] == WITH_TICKET(k) && \
              outcome[r] == OUTCOME_PENDING && \
              result_sent[PAIR(k, r)] -> \
              assert(executions[r] == 1); outcome[r] = OUTCOME_RESULT } \
  :: atomic { exchange[r] == WITH_TICKET(k) && \
              outcome[r] == OUTCOME_PENDING && \
              not_run_sent[PAIR(k, r)] -> \
              assert(executions[r] == 0); outcome[r] = OUTCOME_NOT_RUN } \
  :: atomic { exchange[r] == WITH_TICKET(k) && \
              outcome[r] == OUTCOME_PENDING && \
              unknown_sent[PAIR(k, r)] -> outcome[r] = OUTCOME_UNKNOWN } \
  :: atomic { TICKET_OFFERED(k, r) && outcome[r] == OUTCOME_PENDING && \
              !redeem_sent[PAIR(k, r)] -> \
              exchange[r] = WITH_TICKET(k); redeem_sent[PAIR(k, r)] = 1 }

/* A 4.01 with a ticket belongs to the caller's current exchange; a careless
 * caller also acts on tickets sent in answer to its earlier exchanges. */
#ifdef CARELESS_CALLER
#define TICKET_OFFERED(k, r) ((k) < tickets && exchange[r] != UNSENT && \
                              ticket_key[k] == KEY_WITHOUT_TICKET(r))
#else
#define TICKET_OFFERED(k, r) ((k) < tickets && \
  ((exchange[r] == WITHOUT_TICKET && \
    ticket_key[k] == KEY_WITHOUT_TICKET(r)) || \
   (exchange[r] >= 2 && \
    ticket_key[k] == KEY_WITH_TICKET(exchange[r] - 2, r))))
#endif

#ifdef NO_OWNER_CHECK
#define MISROUTE(k, r) \
  :: atomic { redeem_sent[PAIR(k, r)] && executions[r] < 2 -> Execute(k, r) }
#else
#define MISROUTE(k, r)
#endif

#ifdef NOT_RUN_WHEN_BROKEN
#define HANDLE_BROKEN_CALL(k) \
  SendNotRun(k, bound_to[k] - 1); record[k] = INVALIDATED
#else
#ifdef RETRY_WHEN_BROKEN
#define HANDLE_BROKEN_CALL(k) record[k] = QUEUED
#else
#define HANDLE_BROKEN_CALL(k) \
  unknown_sent[PAIR(k, bound_to[k] - 1)] = 1; record[k] = UNKNOWN
#endif
#endif

#ifdef FORGET_EARLY
#define MAY_FORGET(k) 1
#else
#define MAY_FORGET(k) expired[k]
#endif

/* The agent, its server and ticket expiry, per ticket. */
#define SERVE(k) \
  :: atomic { SAME_INCARNATION(k) && record[k] == QUEUED -> \
              call[k] = CALL_SENT; call_request[k] = bound_to[k] - 1; \
              record[k] = DISPATCHED } \
  :: atomic { SAME_INCARNATION(k) && record[k] == QUEUED -> \
              Invalidate(k, bound_to[k] - 1) } \
  :: atomic { call[k] == CALL_SENT -> \
              call[k] = CALL_EXECUTED; Execute(k, call_request[k]) } \
  :: atomic { call[k] == CALL_SENT -> call[k] = CALL_REJECTED } \
  :: atomic { SAME_INCARNATION(k) && record[k] == DISPATCHED && \
              call[k] == CALL_EXECUTED -> \
              record[k] = DONE; result_sent[PAIR(k, bound_to[k] - 1)] = 1 } \
  :: atomic { SAME_INCARNATION(k) && record[k] == DISPATCHED && \
              call[k] == CALL_REJECTED -> \
              record[k] = INVALIDATED; SendNotRun(k, bound_to[k] - 1) } \
  :: atomic { SAME_INCARNATION(k) && record[k] == DISPATCHED && \
              call[k] != CALL_REJECTED -> \
              HANDLE_BROKEN_CALL(k) } \
  :: atomic { (k) < tickets && !expired[k] -> expired[k] = 1 } \
  :: atomic { SAME_INCARNATION(k) && MAY_FORGET(k) && record[k] != QUEUED && \
              record[k] != DISPATCHED && record[k] != FORGOTTEN -> \
              record[k] = FORGOTTEN; bound_to[k] = 0 }

/* A request without a ticket reaches agent a. */
#ifdef NO_TICKET
#define REQUEST_TICKET(a, r) \
  :: atomic { exchange[r] == WITHOUT_TICKET -> Execute(0, r) }
#else
#define REQUEST_TICKET(a, r) \
  :: atomic { exchange[r] != UNSENT && sent_without_ticket[r] -> \
              Issue(a, KEY_WITHOUT_TICKET(r)) } \
  :: atomic { exchange[r] != UNSENT && sent_without_ticket[r] -> \
              rejection_sent[r] = 1 }
#endif

bit sent_without_ticket[REQUESTS];

#define START(r) \
  :: atomic { exchange[r] == UNSENT -> \
              exchange[r] = WITHOUT_TICKET; sent_without_ticket[r] = 1 } \
  :: atomic { exchange[r] == WITHOUT_TICKET && \
              outcome[r] == OUTCOME_PENDING && \
              rejection_sent[r] -> \
              assert(executions[r] == 0); outcome[r] = OUTCOME_NOT_RUN }

/* Request 1 starts with the ticket that request 0 is using. */
#define REUSE(k) \
  :: atomic { exchange[1] == UNSENT && exchange[0] == WITH_TICKET(k) -> \
              exchange[1] = WITH_TICKET(k); redeem_sent[PAIR(k, 1)] = 1 }

#define RESTART(a) \
  :: atomic { incarnation[a] < RESTARTS -> incarnation[a]++ }

#if REQUESTS > 1
#define FOR_REQUESTS(macro, x) macro(x, 0) macro(x, 1)
#else
#define FOR_REQUESTS(macro, x) macro(x, 0)
#endif

active proctype System() {
  do
  START(0)
#if REQUESTS > 1
  START(1)
  REUSE(0)
  REUSE(1)
#endif
  FOR_REQUESTS(REQUEST_TICKET, 0)
  RESTART(0)
#if AGENTS > 1
  FOR_REQUESTS(REQUEST_TICKET, 1)
  RESTART(1)
#endif
  SERVE(0)
  FOR_REQUESTS(DELIVER, 0)
  FOR_REQUESTS(MISROUTE, 0)
  SERVE(1)
  FOR_REQUESTS(DELIVER, 1)
  FOR_REQUESTS(MISROUTE, 1)
#if TICKETS > 2
  SERVE(2)
  FOR_REQUESTS(DELIVER, 2)
  FOR_REQUESTS(MISROUTE, 2)
#endif
#if TICKETS > 3
  SERVE(3)
  FOR_REQUESTS(DELIVER, 3)
  FOR_REQUESTS(MISROUTE, 3)
#endif
  od
}
