/*
 * An opening that waits for a server at one balancer while routers give its
 * copies to others.
 *
 * A client sends its opening packet up to three times; each copy reaches one of
 * the balancers or is lost. A balancer that knows nothing of the flow begins an
 * opening. It either sends the packet to a server, whose grant goes straight to
 * the client, or gives up: it forgets the opening and may reset the client.
 * A balancer may be killed at any time and forgets everything.
 *
 * A reset overtakes the grant of a copy that was sent after it, which has the
 * way over a balancer and a server before it; so a reset ends the client's
 * attempt at once here.
 *
 * Property (assertion): no flow that is open is reset.
 *
 * The switch NO_COPY_CHECK lets a balancer reset whatever copies it has seen;
 * NO_FIRST_COPY counts the copies from the first one that came here.
 */

#ifndef BALANCERS
#define BALANCERS 3
#endif
#define COPIES 3
#ifndef KILLS
#define KILLS 2
#endif

bit waiting[BALANCERS]; /* has the opening, asked no server */
byte came[BALANCERS];   /* a bit for each copy that the opening has seen */
byte sent;              /* copies */
byte kills;
bit granted; /* a server holds the flow and its grant is on its way */
bit open;    /* the client has confirmed a grant */
bit ended;   /* the client's attempt */

hidden byte copy;
hidden byte wanted;

/* Bits of the copies that were sent, as far as balancer b can tell. */
inline Wanted(b) {
  wanted = (1 << sent) - 1;
#ifdef NO_FIRST_COPY
  copy = 0;
  do
  :: copy < COPIES && (came[b] & (1 << copy)) == 0 ->
     wanted = wanted & ~(1 << copy);
     copy++
  :: else -> break
  od
#endif
}

inline Arrive(b) {
  if
  :: !waiting[b] ->
     waiting[b] = 1;
     came[b] = 0
  :: else
  fi;
  came[b] = came[b] | (1 << sent)
}

active proctype Client() {
  byte b;
  do
  :: atomic {
       !ended && !open && sent < COPIES ->
       if
       :: select (b : 0 .. BALANCERS - 1); Arrive(b)
       :: skip /* lost */
       fi;
       sent++
     }
  :: atomic { granted && !ended -> open = 1 }
  :: ended || (open && sent == COPIES) -> break
  od
}

active [BALANCERS] proctype Balancer() {
  byte b = _pid - 1;
end:
  do
  :: atomic { waiting[b] -> waiting[b] = 0; granted = 1 }
  :: atomic {
       waiting[b] ->
       Wanted(b);
       if
#ifdef NO_COPY_CHECK
       :: true ->
#else
       :: came[b] == wanted ->
#endif
          assert(!open);
          ended = 1
       :: else
       fi;
       waiting[b] = 0
     }
  :: atomic { waiting[b] && kills < KILLS -> kills++; waiting[b] = 0 }
  od
}
