/*
 * Renewal of task leases while the store is down. A gang of two members on two workers is
 * committed as running; its owner may have released only one member. The owner may crash or miss
 * rounds, and the next daemon then acts as caretaker. A worker may be lost. The store may recover,
 * and the next daemon then takes over. Time is a sequence of rounds: in each round, every live
 * daemon that is not paused sends its renewals. The successor detects a silent owner after one
 * round.
 */
#include "common.pml"

#define LEASE 4 /* rounds */

hidden byte tasksSurvive, epochFromTakeover;

mtype { none, held, executing };

bool isUp;                  /* the store is down at first */
byte epoch = 1;             /* epoch row */
byte seenEpoch[2] = 1;
mtype task[2] = executing;
byte lease[2] = LEASE;
bool isLost[2];
bool isAlive = true;        /* the owner has not crashed */
bool hasActed[2];           /* the owner and the successor have acted in this round */
bool isSilent;              /* the owner sent no heartbeat in the last round */
byte pauses = 1, workerLosses = 1;
bool isTakenOver;           /* the successor has taken over and recovered */
bool wasWhole = true;       /* the gang was whole when the last tick began */

#define isWhole (task[0] == executing && task[1] == executing)
#define isPartial (!isWhole && (task[0] == executing || task[1] == executing))

/* Renews the lease of the task on worker w under epoch e. */
inline renew(w, e) {
  if
  :: !isLost[w] && task[w] != none && e >= seenEpoch[w] ->
     must(epochFromTakeover, e <= epoch); seenEpoch[w] = e; lease[w] = LEASE
  :: else
  fi
}

/* Renews the gang under the epoch that each worker lists, plus epochStep. */
inline renewGang(epochStep) {
  if
#ifdef RENEW_INCOMPLETE
  :: true -> renew(0, seenEpoch[0] + epochStep); renew(1, seenEpoch[1] + epochStep)
#else
  :: isWhole -> renew(0, seenEpoch[0] + epochStep); renew(1, seenEpoch[1] + epochStep)
  :: !isWhole
#endif
  fi
}

active proctype Owner() {
end:
  do
  :: atomic { isAlive && !hasActed[0] -> renewGang(0); hasActed[0] = true }
  :: atomic { pauses > 0 && isAlive && !hasActed[0] ->
       pauses--; hasActed[0] = true; isSilent = true }
  :: atomic { isAlive -> isAlive = false; hasActed[0] = true; isSilent = true; break }
  od
}

active proctype Successor() {
end:
  do
  :: atomic { !isUp && !hasActed[1] ->
       if
       :: isSilent || !isAlive ->
#ifdef CARETAKER_RAISES_EPOCH
          renewGang(1)
#else
          renewGang(0)
#endif
       :: else
       fi;
       hasActed[1] = true }
  :: atomic { isUp && !hasActed[1] && !isTakenOver && !isAlive -> epoch = 2 }; /* takes over */
     atomic {
       seenEpoch[0] = 2; seenEpoch[1] = 2; isTakenOver = true;
       if
       :: isWhole -> renewGang(0)
       :: else -> task[0] = none; task[1] = none
       fi;
       hasActed[1] = true }
  :: atomic { isUp && isTakenOver && !hasActed[1] ->
       if
       :: isWhole -> renewGang(0)
       :: else -> task[0] = none; task[1] = none
       fi;
       hasActed[1] = true }
  :: atomic { isUp && isAlive && !hasActed[1] -> hasActed[1] = true }
  od
}

inline passRound(w) {
  if
  :: task[w] != none && lease[w] > 1 -> lease[w]--
  :: task[w] != none && lease[w] <= 1 ->
     must(tasksSurvive, !wasWhole || isLost[0] || isLost[1]); task[w] = none; lease[w] = 0
  :: else
  fi
}

active proctype Clock() {
  /* the owner may have crashed between the two releases */
  if :: task[1] = held :: skip fi;
  do
  :: atomic { hasActed[0] && hasActed[1] ->
       wasWhole = isWhole; passRound(0); passRound(1);
       hasActed[0] = !isAlive; hasActed[1] = false; isSilent = !isAlive }
  od
}

active proctype Faults() {
end:
  do
  :: atomic { workerLosses > 0 -> workerLosses--; isLost[1] = true; task[1] = none }
  :: atomic { !isUp -> isUp = true }
  od
}

/* An incomplete gang stops executing, however long the store is down. */
ltl partStops { [] (isPartial -> <> !isPartial) }
