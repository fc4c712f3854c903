/*
 * A store that comes back from an older copy of its data, one server that
 * reports its state to it, and balancers that list, watch and gossip.
 *
 * The store may be copied at any time and come back from the copy, in a new era.
 * It then assigns revisions again, and the server reports again. A report with a
 * higher number is newer. An answer of the store may arrive any time after it was
 * given.
 *
 * Properties (assertions): a balancer never goes back to an older report; once a
 * balancer has read everything up to the store's current revision, and the server
 * has reported again, it knows the report that the store has.
 *
 * Each switch removes one mechanism.
 */

#ifndef BALANCERS
#define BALANCERS 2
#endif
#ifndef REPORTS
#define REPORTS 4
#endif
#ifndef RESTORES
#define RESTORES 2
#endif

mtype = { NONE, LIST, WATCH, GONE };

/* The store: its position, the entry of the server, and the copy. */
byte era = 1;
byte revision = 1;
byte entry_revision = 1;
byte entry_report = 1;
byte copy_revision = 1;
byte copy_entry_revision = 1;
byte copy_report = 1;
/* The server's last report, and whether it has to report again. */
byte last_report = 1;
bit report_again;

/* Balancers: reader, and what they know of the server. */
byte known_era[BALANCERS];
byte watch_revision[BALANCERS];
bit listing[BALANCERS];
byte position_era[BALANCERS];
byte position_revision[BALANCERS];
byte report[BALANCERS];

/* The answer in flight to each balancer. */
mtype answer[BALANCERS];
byte answer_era[BALANCERS];
byte answer_revision[BALANCERS];
bit answer_has_entry[BALANCERS];
byte answer_entry_revision[BALANCERS];
byte answer_report[BALANCERS];

inline Apply(b, e, r, n) {
  if
#ifdef NO_ERA
  :: r > position_revision[b] ->
#else
  :: e > position_era[b] || (e == position_era[b] &&
     (r > position_revision[b] ||
      (r == position_revision[b] && n > report[b]))) ->
#endif
     if
#ifndef NO_REPORT_CHECK
     :: e > position_era[b] && n < report[b] -> skip
     :: else ->
#else
     :: true ->
#endif
        assert(n >= report[b]);
        report[b] = n
     fi;
     position_era[b] = e;
     position_revision[b] = r
  :: else
  fi
}

inline Call(b) {
  answer_era[b] = era;
  answer_revision[b] = revision;
  answer_has_entry[b] = 1;
  answer_entry_revision[b] = entry_revision;
  answer_report[b] = entry_report;
  if
  :: listing[b] -> answer[b] = LIST
  :: !listing[b] && watch_revision[b] > revision -> answer[b] = GONE
  :: else ->
     answer[b] = WATCH;
     answer_has_entry[b] = (entry_revision > watch_revision[b])
  fi
}

inline CheckComplete(b) {
  assert(known_era[b] != era || watch_revision[b] != revision ||
         report_again || report[b] == entry_report)
}

inline Deliver(b) {
  if
  :: answer_era[b] < known_era[b] -> skip
#ifndef CONTINUE_WATCH
  :: answer_era[b] > known_era[b] ->
     known_era[b] = answer_era[b];
     listing[b] = 1
#endif
  :: else ->
     known_era[b] = answer_era[b];
     if
     :: answer[b] == GONE -> listing[b] = 1
     :: else ->
        if
        :: answer_has_entry[b] ->
           Apply(b, answer_era[b], answer_entry_revision[b], answer_report[b])
        :: else
        fi;
        watch_revision[b] = answer_revision[b];
        listing[b] = 0;
        CheckComplete(b)
     fi
  fi;
  answer[b] = NONE
}

active proctype Store() {
  byte restores = 0;
  byte b;
  byte other;
  for (b : 0 .. BALANCERS - 1) {
    known_era[b] = 1;
    listing[b] = 1;
    answer[b] = NONE
  }
  do
  :: atomic { last_report < REPORTS ->
       last_report++;
       report_again = 0;
       revision++;
       entry_revision = revision;
       entry_report = last_report }
  :: atomic { copy_revision != revision ->
       copy_revision = revision;
       copy_entry_revision = entry_revision;
       copy_report = entry_report }
  :: atomic { restores < RESTORES && last_report < REPORTS ->
       restores++;
       era++;
       revision = copy_revision;
       entry_revision = copy_entry_revision;
       entry_report = copy_report;
       report_again = 1 }
  :: atomic { select(b : 0 .. BALANCERS - 1);
       if
       :: answer[b] == NONE -> Call(b)
       :: else -> Deliver(b)
       fi }
  :: atomic { select(b : 0 .. BALANCERS - 1);
       select(other : 0 .. BALANCERS - 1);
       Apply(b, position_era[other], position_revision[other], report[other]) }
  od
}
