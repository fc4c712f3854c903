/*
 * A flow opening that is pending at one balancer while routers deliver
 * retransmissions of its opening packet to other balancers.
 *
 * A client transmits its opening packet up to three times; each transmission
 * ("copy") reaches one of the balancers or is lost. A balancer without state
 * for the flow creates a pending opening. It then either forwards the packet to
 * a server, whose answer goes directly to the client, or fails the opening: it
 * deletes the pending opening and may reset the client. A balancer may be
 * killed at any time and loses all state.
 *
 * A reset overtakes the server's answer to a copy that was sent after the
 * reset, because that copy still has to pass a balancer and a server. The model
 * therefore lets a reset end the client's attempt immediately.
 *
 * Property (assertion): an established flow is never reset.
 *
 * The switch NO_COPY_CHECK lets a balancer reset regardless of the copies that
 * it has received; NO_FIRST_COPY counts copies from the first one received by
 * this balancer instead of from the first one sent.
 */

#ifndef BALANCERS
#define BALANCERS 3
#endif
#define COPIES 3
#ifndef KILLS
#define KILLS 2
#endif

bit pending[BALANCERS]; /* has a pending opening, no server queried */
byte received_copies[BALANCERS]; /* bit mask of the copies received here */
byte copies_sent;
byte kills;
bit server_accepted; /* a server has accepted; its answer is in flight */
bit established;     /* the client has confirmed the answer of a server */
bit attempt_ended;   /* the client's attempt was reset */

hidden byte copy;
hidden byte expected_copies;

/* Bit mask of the copies that were sent, as far as balancer b can tell. */
inline ComputeExpectedCopies(b) {
  expected_copies = (1 << copies_sent) - 1;
#ifdef NO_FIRST_COPY
  copy = 0;
  do
  :: copy < COPIES && (received_copies[b] & (1 << copy)) == 0 ->
     expected_copies = expected_copies & ~(1 << copy);
     copy++
  :: else -> break
  od
#endif
}

inline ReceiveCopy(b) {
  if
  :: !pending[b] ->
     pending[b] = 1;
     received_copies[b] = 0
  :: else
  fi;
  received_copies[b] = received_copies[b] | (1 << copies_sent)
}

active proctype Client() {
  byte b;
  do
  :: atomic {
       !attempt_ended && !established && copies_sent < COPIES ->
       if
       :: select (b : 0 .. BALANCERS - 1); ReceiveCopy(b)
       :: skip /* lost */
       fi;
       copies_sent++
     }
  :: atomic { server_accepted && !attempt_ended -> established = 1 }
  :: attempt_ended || (established && copies_sent == COPIES) -> break
  od
}

active [BALANCERS] proctype Balancer() {
  byte b = _pid - 1;
end:
  do
  :: atomic { pending[b] -> pending[b] = 0; server_accepted = 1 }
  :: atomic {
       pending[b] ->
       ComputeExpectedCopies(b);
       if
#ifdef NO_COPY_CHECK
       :: true ->
#else
       :: received_copies[b] == expected_copies ->
#endif
          assert(!established);
          attempt_ended = 1
       :: else
       fi;
       pending[b] = 0
     }
  :: atomic { pending[b] && kills < KILLS -> kills++; pending[b] = 0 }
  od
}
