/*
 * Handover of a session: offer, acceptance, lost reply, crash, pause and new
 * registration.
 *
 * One caller observes one resource. A leaving agent offers the session to one
 * other agent and retransmits the offer until it is answered; both may notify
 * meanwhile, and the caller orders notifications by (epoch, sequence), as it
 * orders Observe numbers whose upper bits are the epoch.
 *
 * Time advances in ticks, the unit of Max-Age in this model. Within a tick
 * every message may be lost, duplicated and reordered without bound. No message
 * outlives its tick, except an offer in the socket of a paused process, which
 * discards such offers when it resumes. An owner that has received no
 * acknowledgement for MAX_AGE ticks drops the session; the caller registers
 * again only later than that. A registration makes one agent the owner
 * (REGISTER_TWICE shows the effect of two).
 *
 * Property (assertion): the caller sees owners in order: once it has accepted a
 * notification of a later owner, it never accepts one of an earlier owner.
 *
 * Each switch removes one mechanism or assumption.
 */

#ifndef AGENTS
#define AGENTS 3
#endif
#ifndef TICKS
#define TICKS 4
#endif
#ifndef GRANTS
#define GRANTS 4 /* successive owners, including the first */
#endif
#define SEQUENCES 1 /* notifications per owner */
#define MAX_AGE 2
#define REGISTER_AGE 3
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NO_AGENT 255
#ifndef PAUSES
#define PAUSES 1
#endif

bit owns[AGENTS];
byte epoch[AGENTS];
byte sequence[AGENTS];
byte unacknowledged_ticks[AGENTS]; /* since the last acknowledgement */
byte grant[AGENTS]; /* number of its ownership: for the assertion only */
bit paused[AGENTS];
byte restarts;
byte pauses;

/* One notification in flight per agent. */
bit notified[AGENTS];
byte notified_epoch[AGENTS];
byte notified_sequence[AGENTS];
byte notified_grant[AGENTS];

/* Offers by the owner with this grant to each agent, and their results. */
byte grant_owner[GRANTS];
byte grant_epoch[GRANTS];
byte offered_to[GRANTS];
bit offer_sent[GRANTS * AGENTS];
bit offer_accepted[GRANTS * AGENTS]; /* recorded by the receiver */
bit reply_sent[GRANTS * AGENTS];

byte caller_epoch;
byte caller_sequence;
byte caller_grant;
byte caller_idle_ticks;
byte next_grant;
byte ticks;
bit superseded_grant[GRANTS]; /* the caller has accepted a later owner */

hidden byte item;

#define OFFER_INDEX(g, a) ((g) * AGENTS + (a))
#define MAY_TAKE_OVER (next_grant < GRANTS)

inline TakeOver(a, e) {
  owns[a] = 1;
  epoch[a] = e;
  sequence[a] = 0;
  unacknowledged_ticks[a] = 0;
  grant[a] = next_grant;
  grant_owner[next_grant] = a;
  grant_epoch[next_grant] = e;
  offered_to[next_grant] = NO_AGENT;
  next_grant++
}

inline DropSession(a) {
  owns[a] = 0;
  epoch[a] = 0;
  sequence[a] = 0;
  unacknowledged_ticks[a] = 0;
  grant[a] = 0
}

inline Accept(e, s, g) {
  assert(!superseded_grant[g]);
  if
  :: caller_grant != g -> superseded_grant[caller_grant] = 1
  :: else
  fi;
  caller_epoch = e;
  caller_sequence = s;
  caller_grant = g;
  caller_idle_ticks = 0
}

#ifdef NO_EPOCH
#define IS_NEWER(e, s) ((s) >= caller_sequence)
#else
#define IS_NEWER(e, s) \
  ((e) > caller_epoch || ((e) == caller_epoch && (s) >= caller_sequence))
#endif

#define NOTIFY(a) \
  :: atomic { owns[a] && !paused[a] && !notified[a] && \
              sequence[a] < SEQUENCES -> \
              sequence[a]++; notified[a] = 1; notified_epoch[a] = epoch[a]; \
              notified_sequence[a] = sequence[a]; \
              notified_grant[a] = grant[a] }

/* The caller also acknowledges notifications that it discards as stale. */
#define ACKNOWLEDGE(a) \
  if \
  :: owns[a] && grant[a] == notified_grant[a] -> unacknowledged_ticks[a] = 0 \
  :: true \
  fi

#define DELIVER(a) \
  :: atomic { notified[a] -> \
              if \
              :: IS_NEWER(notified_epoch[a], notified_sequence[a]) -> \
                 Accept(notified_epoch[a], notified_sequence[a], \
                        notified_grant[a]) \
              :: else \
              fi; \
              ACKNOWLEDGE(a) }

#ifdef OFFER_TO_ANOTHER
#define MAY_OFFER(a, b) 1
#else
#define MAY_OFFER(a, b) \
  (offered_to[grant[a]] == NO_AGENT || offered_to[grant[a]] == b)
#endif

#define OFFER(a, b) \
  :: atomic { owns[a] && !paused[a] && MAY_OFFER(a, b) && \
              !offer_sent[OFFER_INDEX(grant[a], b)] -> \
              offered_to[grant[a]] = b; \
              offer_sent[OFFER_INDEX(grant[a], b)] = 1 }

#ifdef NO_OFFER_MEMORY
#define IS_NEW_OFFER(g, b) (!owns[b])
#else
#define IS_NEW_OFFER(g, b) (!offer_accepted[OFFER_INDEX(g, b)] && !owns[b])
#endif

#define RECEIVE_OFFER(b, g) \
  :: atomic { !paused[b] && offer_sent[OFFER_INDEX(g, b)] && \
              (MAY_TAKE_OVER || offer_accepted[OFFER_INDEX(g, b)]) -> \
              if \
              :: IS_NEW_OFFER(g, b) && MAY_TAKE_OVER -> \
                 offer_accepted[OFFER_INDEX(g, b)] = 1; \
                 TakeOver(b, grant_epoch[g] + 1) \
              :: else \
              fi; \
              reply_sent[OFFER_INDEX(g, b)] = \
                offer_accepted[OFFER_INDEX(g, b)] }

#define RECEIVE_REPLY(a, b) \
  :: atomic { owns[a] && !paused[a] && \
              reply_sent[OFFER_INDEX(grant[a], b)] -> DropSession(a) }

#ifdef NO_ACKNOWLEDGEMENT_LEASE
#define LEASE_EXPIRED(a) 0
#else
#define LEASE_EXPIRED(a) (owns[a] && unacknowledged_ticks[a] >= MAX_AGE)
#endif

inline DiscardOffers(a) {
  item = 0;
  do
  :: item < GRANTS -> offer_sent[OFFER_INDEX(item, a)] = 0; item++
  :: else -> break
  od
}

/* A process that resumes drops a session whose lease (Max-Age) has expired
 * before it does anything else. */
#ifdef NO_WAKE_CHECK
#define RESUME(a) :: atomic { paused[a] -> paused[a] = 0; DiscardOffers(a) }
#else
#ifdef NO_WAKE_DISCARD
#define RESUME(a) \
  :: atomic { paused[a] -> \
              paused[a] = 0; \
              if \
              :: LEASE_EXPIRED(a) -> DropSession(a) \
              :: else \
              fi }
#else
#define RESUME(a) \
  :: atomic { paused[a] -> \
              paused[a] = 0; \
              if \
              :: LEASE_EXPIRED(a) -> DropSession(a) \
              :: else \
              fi; \
              DiscardOffers(a) }
#endif
#endif

#define PAUSE(a) \
  :: atomic { !paused[a] && pauses < PAUSES -> paused[a] = 1; pauses++ }

inline ClearAcceptedOffers(a) {
  item = 0;
  do
  :: item < GRANTS -> offer_accepted[OFFER_INDEX(item, a)] = 0; item++
  :: else -> break
  od
}

/* Pending offers are lost when their receiver restarts. */
#ifdef OFFER_OUTLIVES_RESTART
#define CLEAR_MEMORY(a) ClearAcceptedOffers(a)
#else
#define CLEAR_MEMORY(a) ClearAcceptedOffers(a); DiscardOffers(a)
#endif

#define CRASH(a) \
  :: atomic { restarts < RESTARTS -> \
              restarts++; DropSession(a); paused[a] = 0; CLEAR_MEMORY(a) }

#ifdef REGISTER_TWICE
#define REGISTER_SECOND_OWNER(b) \
  if \
  :: !owns[b] && !paused[b] && MAY_TAKE_OVER -> TakeOver(b, 0) \
  :: true \
  fi
#else
#define REGISTER_SECOND_OWNER(b)
#endif

/* A new registration may reach any agent. The caller accepts its answer in any
 * case, because the answer belongs to the request, and restarts its order of
 * notifications from there. */
#define REGISTER(a, b) \
  :: atomic { caller_idle_ticks >= REGISTER_AGE && !paused[a] && \
              (owns[a] || MAY_TAKE_OVER) -> \
              if \
              :: owns[a] \
              :: else -> TakeOver(a, 0) \
              fi; \
              Accept(epoch[a], sequence[a], grant[a]); \
              unacknowledged_ticks[a] = 0; \
              REGISTER_SECOND_OWNER(b) }

#define ADVANCE_TICK(a) \
  notified[a] = 0; \
  if \
  :: owns[a] && unacknowledged_ticks[a] < MAX_AGE -> unacknowledged_ticks[a]++ \
  :: else \
  fi; \
  if \
  :: !paused[a] && LEASE_EXPIRED(a) -> DropSession(a) \
  :: else \
  fi

inline EndTick() {
  item = 0;
  do
  :: item < GRANTS * AGENTS ->
     reply_sent[item] = 0;
     if
     :: !paused[item % AGENTS] -> offer_sent[item] = 0
     :: else
     fi;
     item++
  :: else -> break
  od
}

#if GRANTS > 4
#define RECEIVE_LAST_OFFER(a) RECEIVE_OFFER(a, 4)
#else
#define RECEIVE_LAST_OFFER(a)
#endif

#define AGENT(a, b, c) \
  NOTIFY(a) DELIVER(a) OFFER(a, b) OFFER(a, c) \
  RECEIVE_OFFER(a, 0) RECEIVE_OFFER(a, 1) RECEIVE_OFFER(a, 2) \
  RECEIVE_OFFER(a, 3) RECEIVE_LAST_OFFER(a) \
  RECEIVE_REPLY(a, b) RECEIVE_REPLY(a, c) \
  PAUSE(a) RESUME(a) CRASH(a) REGISTER(a, b)

init {
  atomic {
    TakeOver(0, 0);
    caller_grant = 0
  }
  do
  AGENT(0, 1, 2)
  AGENT(1, 2, 0)
  AGENT(2, 0, 1)
  :: atomic { ticks < TICKS ->
              ticks++;
              ADVANCE_TICK(0);
              ADVANCE_TICK(1);
              ADVANCE_TICK(2);
              EndTick();
              if
              :: caller_idle_ticks < REGISTER_AGE -> caller_idle_ticks++
              :: else
              fi }
  od
}
