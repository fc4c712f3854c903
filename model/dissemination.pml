/*
 * Dissemination of contract versions among balancers.
 *
 * An update with any version published so far may reach any process at any
 * time, in any order and any number of times: from the configuration service,
 * which may be stale, or from another process. Processes crash and restart
 * without stored state, but never all at once. Version 2 is a deletion.
 *
 * Properties (assertions): the version of a process never decreases until it
 * crashes; once a version was in force at every running process, no process
 * serves with an older one, including processes that started later.
 *
 * Each switch removes one mechanism.
 */

#ifndef PROCESSES
#define PROCESSES 3
#endif
#ifndef VERSIONS
#define VERSIONS 4
#endif
#ifndef RESTARTS
#define RESTARTS 2 /* of each process */
#endif

#define DELETION 2

byte published = 1; /* latest version at the configuration service */
byte version[PROCESSES];
bit serving[PROCESSES];
bit running[PROCESSES];
byte start_count[PROCESSES];
/* For the assertions only: the highest version that a process applied since its
 * start, and the highest version that was in force at all running processes. */
byte max_version[PROCESSES];
byte converged = 1;

/* Answer of a peer, in flight to a starting process: the version of the peer
 * and the start of the process that it was sent to. */
byte answer_version[PROCESSES];
byte answer_start[PROCESSES];

hidden byte item;
hidden byte min_version;

inline CheckConverged(p) {
  assert(!serving[p] || max_version[p] >= converged);
  min_version = VERSIONS;
  item = 0;
  do
  :: item < PROCESSES ->
     if
     :: running[item] && max_version[item] < min_version ->
        min_version = max_version[item]
     :: else
     fi;
     item++
  :: else -> break
  od;
  if
  :: min_version > converged -> converged = min_version
  :: else
  fi
}

inline Apply(p, v) {
  if
#ifdef NO_VERSION_CHECK
  :: v != version[p] ->
#else
  :: v > version[p] ->
#endif
     assert(v >= max_version[p]);
     max_version[p] = v;
#ifdef NO_TOMBSTONE
     if
     :: v == DELETION -> version[p] = 0
     :: else -> version[p] = v
     fi;
#else
     version[p] = v;
#endif
     CheckConverged(p)
  :: else
  fi
}

inline Serve(p) {
  serving[p] = 1;
  CheckConverged(p)
}

#define RECEIVE(p, v) \
  :: atomic { running[p] && v <= published -> Apply(p, v) }

#ifdef COUNT_STARTING_PEERS
#define MAY_ANSWER_QUERY(q) running[q]
#else
#define MAY_ANSWER_QUERY(q) (running[q] && serving[q])
#endif

#ifdef NO_START_CHECK
#define IS_CURRENT_ANSWER(p) (answer_start[p] != 0)
#else
#define IS_CURRENT_ANSWER(p) (answer_start[p] == start_count[p])
#endif

/* A starting process queries peer q and serves once it has one answer. */
#define QUERY_PEER(p, q) \
  :: atomic { running[p] && !serving[p] && MAY_ANSWER_QUERY(q) -> \
              answer_version[p] = version[q]; answer_start[p] = start_count[p] }

#define APPLY_ANSWER(p) \
  :: atomic { running[p] && !serving[p] && IS_CURRENT_ANSWER(p) -> \
              Apply(p, answer_version[p]); Serve(p) }

#ifdef SERVICE_SUFFICES
#define SERVE_FROM_SERVICE(p) \
  :: atomic { running[p] && !serving[p] && version[p] > 0 -> Serve(p) }
#else
#define SERVE_FROM_SERVICE(p)
#endif

#ifdef NO_WARM_UP
#define SERVE_IMMEDIATELY(p) :: atomic { running[p] && !serving[p] -> Serve(p) }
#else
#define SERVE_IMMEDIATELY(p)
#endif

#define OTHER_SERVES(p) \
  (serving[((p) + 1) % PROCESSES] || serving[((p) + 2) % PROCESSES])

#define CRASH_OR_RESTART(p) \
  :: atomic { running[p] && start_count[p] <= RESTARTS && OTHER_SERVES(p) -> \
              running[p] = 0; serving[p] = 0; version[p] = 0; \
              max_version[p] = 0; \
              CheckConverged(p) } \
  :: atomic { !running[p] -> running[p] = 1; start_count[p]++ }

#if VERSIONS > 3
#define RECEIVE_FOURTH_VERSION(p) RECEIVE(p, 4)
#else
#define RECEIVE_FOURTH_VERSION(p)
#endif

#define PROCESS(p, q1, q2) \
  RECEIVE(p, 1) RECEIVE(p, 2) RECEIVE(p, 3) RECEIVE_FOURTH_VERSION(p) \
  QUERY_PEER(p, q1) QUERY_PEER(p, q2) APPLY_ANSWER(p) \
  SERVE_FROM_SERVICE(p) SERVE_IMMEDIATELY(p) CRASH_OR_RESTART(p)

init {
  atomic {
    item = 0;
    do
    :: item < PROCESSES ->
       version[item] = 1;
       max_version[item] = 1;
       serving[item] = 1;
       running[item] = 1;
       start_count[item] = 1;
       item++
    :: else -> break
    od
  }
  do
  :: atomic { published < VERSIONS -> published++ }
  PROCESS(0, 1, 2)
  PROCESS(1, 0, 2)
  PROCESS(2, 0, 1)
  od
}
