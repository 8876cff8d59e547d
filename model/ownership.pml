/*
 * Ownership of a region: lease row, epoch row, fenced writes and fenced worker commands.
 * Versions are abstracted to the relation "unchanged since this daemon read it", which is exact
 * and keeps the state finite without a bound on renewals. Time is a tick that may pass between any
 * two steps, so every daemon may pause anywhere. A clock may fall one tick behind within a lease.
 */
#include "common.pml"

#define OTHER (1 - me)
#define HOLD 1 /* leaseMs - marginMs */
#define WAIT 3 /* leaseMs + marginMs */

#ifdef EPOCH_ONLY
#define isRowCurrent true
#else
#define isRowCurrent (view[me] == row) /* the version of the job row is the one read */
#endif

hidden byte ownerIsCurrent, fencedWrite, fencedCommand, viewMatchesTable;

bool isUp = true;
byte outages = 1, losses = 1, crashes = 1;
byte holder = 2;
bool isFresh[2];    /* the lease row is unchanged since the daemon read or wrote it */
bool isValid[2];    /* the epoch row is unchanged since the daemon's takeover */
bool isRefused[2];  /* the worker has seen a higher epoch than the daemon's */
bool isFenced[2];   /* the daemon has fenced the worker and read its tasks */
bool isOwner[2];    /* the daemon believes that it is the owner */
bool isLagging[2];
byte left[2];       /* ticks to the deadline by the daemon's clock */
byte next[2];       /* the same for a write of the lease row in flight */
byte seen[2];       /* ticks since the daemon saw the lease row change */
bit row;            /* a job row, toggled by each decision */
bit view[2];        /* the owner's copy of it */

/* A job write and a takeover that their writers gave up on and that may still arrive. */
bool isLate, isLateValid, isLateCurrent;
bit lateRow;
bool isLateTake, isLateTakeFresh;
byte lateTaker;

inline applyTakeover(taker) {
  holder = taker; isFresh[1 - taker] = false;
  isValid[taker] = true; isValid[1 - taker] = false;
  isRefused[taker] = false; isFenced[taker] = false;
  isLateValid = false; isLateTakeFresh = false
}

/* A job row write, conditional on the epoch row and on the version of the job row. */
inline writeRow() { row = value; view[me] = value; isLateCurrent = false }

inline runFollower() {
  do
  :: atomic { isUp && !isFresh[me] -> isFresh[me] = true; seen[me] = 0 }
  :: atomic { isUp && isFresh[me] && seen[me] >= WAIT -> next[me] = HOLD };
     if
     :: atomic { isUp && isFresh[me] ->
          applyTakeover(me); left[me] = next[me]; isLagging[me] = false; isOwner[me] = true; break }
     :: atomic { isUp && !isFresh[me] -> seen[me] = 0 }
     :: atomic { losses > 0 && isFresh[me] && !isLateTake -> /* gives up; the write may arrive later */
          losses--; isLateTake = true; isLateTakeFresh = true; lateTaker = me; seen[me] = 0 }
     :: !isUp
     fi
  :: atomic { crashes > 0 -> crashes--; isFresh[me] = false; seen[me] = 0 }
  od
}

inline renewLease() {
  atomic { isUp -> next[me] = HOLD };
  atomic {
    if
    :: isUp && isFresh[me] && holder == me ->
       isFresh[OTHER] = false; isLateTakeFresh = false; left[me] = next[me]; isLagging[me] = false
    :: isUp && !(isFresh[me] && holder == me) -> break
    :: !isUp
    fi
  }
}

inline fenceWorker() {
  atomic { left[me] > 0 && !isFenced[me] -> must(ownerIsCurrent, isValid[me]) };
  atomic {
    if
    :: isRefused[me] -> break
    :: isUp && !isRefused[me] ->
#ifndef NO_WORKER_FENCE
       if :: isValid[me] -> isRefused[OTHER] = true :: else fi;
#endif
       isFenced[me] = true; view[me] = row
    :: !isUp
    fi
  }
}

inline decide() {
  atomic { left[me] > 0 && isFenced[me] -> must(ownerIsCurrent, isValid[me]);
    value = 1 - view[me] };
  if
#ifdef NO_TABLE_FENCE
  :: atomic { isUp -> must(fencedWrite, isValid[me]); writeRow() }
#else
  :: atomic { isUp && isValid[me] && isRowCurrent ->
       must(fencedWrite, isValid[me]); must(viewMatchesTable, view[me] == row); writeRow() }
  :: atomic { isUp && isValid[me] && !(isRowCurrent) -> view[me] = row }
  :: atomic { isUp && !isValid[me] -> break }
#endif
  :: atomic { losses > 0 && !isLate && isValid[me] -> /* finds the row unchanged after a timeout */
       losses--; isLate = true; isLateValid = true; isLateCurrent = true; lateRow = value }
  :: atomic { isRefused[me] -> break }
  :: atomic { !isRefused[me] -> must(fencedCommand, isValid[me] || !isFenced[OTHER]) }
  :: !isUp
  fi
}

active [2] proctype Daemon() {
  byte me = _pid;
  bit value;
  do
  :: runFollower();
     do
     :: renewLease()
     :: fenceWorker()
     :: decide()
     :: atomic { crashes > 0 -> crashes--; break }
     od;
     atomic {
       value = 0; isOwner[me] = false; isFenced[me] = false; left[me] = 0; next[me] = 0;
       isFresh[me] = false; isLagging[me] = false
     }
  od
}

active proctype Network() {
end:
  do
  :: atomic { isLate && isUp ->
       if
#ifdef EPOCH_ONLY
       :: isLateValid -> row = lateRow
#else
       :: isLateValid && isLateCurrent -> row = lateRow
#endif
       :: else
       fi;
       isLate = false; lateRow = 0; isLateValid = false; isLateCurrent = false }
  :: atomic { isLateTake && isUp ->
       if
       :: isLateTakeFresh -> applyTakeover(lateTaker); isFresh[lateTaker] = false
       :: else
       fi;
       isLateTake = false; lateTaker = 0 }
  od
}

inline tick(i) {
  if
  :: left[i] + next[i] > 0 && !isLagging[i] -> isLagging[i] = true
#ifdef WALL_CLOCK
  :: skip /* the wall clock is set back */
#endif
  :: left[i] = (left[i] > 0 -> left[i] - 1 : 0); next[i] = (next[i] > 0 -> next[i] - 1 : 0)
  fi;
  seen[i] = (seen[i] < WAIT -> seen[i] + 1 : WAIT)
}

active proctype Clock() {
  do
  :: atomic { tick(0); tick(1) }
  od
}

active proctype Store() {
end:
  do
  :: atomic { isUp && outages > 0 -> outages--; isUp = false }
  :: !isUp -> isUp = true
  od
}

/* A region without an owner gets one once faults stop. */
ltl takeoverCompletes { [] <> ((isOwner[0] && isValid[0]) || (isOwner[1] && isValid[1])) }
