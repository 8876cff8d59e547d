/*
 * Ownership of a region: lease row, epoch row, fenced writes and fenced worker commands. A row
 * version is abstracted to the relation "unchanged since this daemon read it". The abstraction is
 * exact and keeps the state space finite without a bound on renewals. A clock tick may occur
 * between any two steps, so a daemon may pause anywhere. A daemon's clock may fall one tick behind
 * within a lease.
 */
#include "common.pml"

#define OTHER (1 - me)
#define HOLD 1 /* ticks that an owner acts on a renewal: leaseMs - marginMs */
#define WAIT 3 /* ticks that a follower waits for a renewal: leaseMs + marginMs */

#ifdef EPOCH_ONLY
#define isRowCurrent true
#else
#define isRowCurrent (view[me] == jobRow) /* the job row has the version that was read */
#endif

hidden byte ownerIsCurrent, fencedWrite, fencedCommand, viewMatchesTable;

bool isUp = true;
byte outages = 1, losses = 1, crashes = 1;
byte holder = 2;
bool isLeaseCurrent[2];  /* the lease row is unchanged since the daemon read or wrote it */
bool isEpochCurrent[2];  /* the epoch row is unchanged since the daemon's takeover */
bool isFencedOff[2];     /* the worker has seen a higher epoch than the daemon's */
bool hasFencedWorker[2]; /* the daemon has fenced the worker and read its tasks */
bool isOwner[2];         /* the daemon believes that it is the owner */
bool isLagging[2];       /* the daemon's clock is one tick behind */
byte leaseLeft[2];       /* ticks until the lease ends by the daemon's clock */
byte pendingLeft[2];     /* the same for a write of the lease row in flight */
byte unchangedTicks[2];  /* ticks since the daemon saw the lease row change */
bit jobRow;              /* toggled by each decision */
bit view[2];             /* the owner's copy of the job row */

/* A job write and a takeover that timed out for their writers and may still take effect. */
bool isLate, isLateEpochCurrent, isLateRowCurrent;
bit lateJobRow;
bool isLateTakeover, isLateTakeoverCurrent;
byte lateCandidate;

inline applyTakeover(candidate) {
  holder = candidate; isLeaseCurrent[1 - candidate] = false;
  isEpochCurrent[candidate] = true; isEpochCurrent[1 - candidate] = false;
  isFencedOff[candidate] = false; hasFencedWorker[candidate] = false;
  isLateEpochCurrent = false; isLateTakeoverCurrent = false
}

/* Writes the job row, conditional on the epoch row and on the version of the job row. */
inline writeRow() { jobRow = value; view[me] = value; isLateRowCurrent = false }

inline runFollower() {
  do
  :: atomic { isUp && !isLeaseCurrent[me] -> isLeaseCurrent[me] = true; unchangedTicks[me] = 0 }
  :: atomic { isUp && isLeaseCurrent[me] && unchangedTicks[me] >= WAIT ->
       pendingLeft[me] = HOLD };
     if
     :: atomic { isUp && isLeaseCurrent[me] ->
          applyTakeover(me); leaseLeft[me] = pendingLeft[me]; isLagging[me] = false;
          isOwner[me] = true; break }
     :: atomic { isUp && !isLeaseCurrent[me] -> unchangedTicks[me] = 0 }
     :: atomic { losses > 0 && isLeaseCurrent[me] && !isLateTakeover ->
          /* times out; the write may still take effect */
          losses--; isLateTakeover = true; isLateTakeoverCurrent = true; lateCandidate = me;
          unchangedTicks[me] = 0 }
     :: !isUp
     fi
  :: atomic { crashes > 0 -> crashes--; isLeaseCurrent[me] = false; unchangedTicks[me] = 0 }
  od
}

inline renewLease() {
  atomic { isUp -> pendingLeft[me] = HOLD };
  atomic {
    if
    :: isUp && isLeaseCurrent[me] && holder == me ->
       isLeaseCurrent[OTHER] = false; isLateTakeoverCurrent = false;
       leaseLeft[me] = pendingLeft[me]; isLagging[me] = false
    :: isUp && !(isLeaseCurrent[me] && holder == me) -> break
    :: !isUp
    fi
  }
}

inline fenceWorker() {
  atomic { leaseLeft[me] > 0 && !hasFencedWorker[me] -> must(ownerIsCurrent, isEpochCurrent[me]) };
  atomic {
    if
    :: isFencedOff[me] -> break
    :: isUp && !isFencedOff[me] ->
#ifndef NO_WORKER_FENCE
       if :: isEpochCurrent[me] -> isFencedOff[OTHER] = true :: else fi;
#endif
       hasFencedWorker[me] = true; view[me] = jobRow
    :: !isUp
    fi
  }
}

inline decide() {
  atomic { leaseLeft[me] > 0 && hasFencedWorker[me] -> must(ownerIsCurrent, isEpochCurrent[me]);
    value = 1 - view[me] };
  if
#ifdef NO_TABLE_FENCE
  :: atomic { isUp -> must(fencedWrite, isEpochCurrent[me]); writeRow() }
#else
  :: atomic { isUp && isEpochCurrent[me] && isRowCurrent ->
       must(fencedWrite, isEpochCurrent[me]); must(viewMatchesTable, view[me] == jobRow);
       writeRow() }
  :: atomic { isUp && isEpochCurrent[me] && !(isRowCurrent) -> view[me] = jobRow }
  :: atomic { isUp && !isEpochCurrent[me] -> break }
#endif
  :: atomic { losses > 0 && !isLate && isEpochCurrent[me] ->
       /* times out and reads the row unchanged; the write may still take effect */
       losses--; isLate = true; isLateEpochCurrent = true; isLateRowCurrent = true;
       lateJobRow = value }
  :: atomic { isFencedOff[me] -> break }
  :: atomic { !isFencedOff[me] ->
       must(fencedCommand, isEpochCurrent[me] || !hasFencedWorker[OTHER]) }
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
       value = 0; isOwner[me] = false; hasFencedWorker[me] = false;
       leaseLeft[me] = 0; pendingLeft[me] = 0; isLeaseCurrent[me] = false; isLagging[me] = false
     }
  od
}

active proctype Network() {
end:
  do
  :: atomic { isLate && isUp ->
       if
#ifdef EPOCH_ONLY
       :: isLateEpochCurrent -> jobRow = lateJobRow
#else
       :: isLateEpochCurrent && isLateRowCurrent -> jobRow = lateJobRow
#endif
       :: else
       fi;
       isLate = false; lateJobRow = 0; isLateEpochCurrent = false; isLateRowCurrent = false }
  :: atomic { isLateTakeover && isUp ->
       if
       :: isLateTakeoverCurrent ->
          applyTakeover(lateCandidate); isLeaseCurrent[lateCandidate] = false
       :: else
       fi;
       isLateTakeover = false; lateCandidate = 0 }
  od
}

inline passTick(i) {
  if
  :: leaseLeft[i] + pendingLeft[i] > 0 && !isLagging[i] -> isLagging[i] = true
#ifdef WALL_CLOCK
  :: skip /* the wall clock steps back */
#endif
  :: leaseLeft[i] = (leaseLeft[i] > 0 -> leaseLeft[i] - 1 : 0);
     pendingLeft[i] = (pendingLeft[i] > 0 -> pendingLeft[i] - 1 : 0)
  fi;
  unchangedTicks[i] = (unchangedTicks[i] < WAIT -> unchangedTicks[i] + 1 : WAIT)
}

active proctype Clock() {
  do
  :: atomic { passTick(0); passTick(1) }
  od
}

active proctype Store() {
end:
  do
  :: atomic { isUp && outages > 0 -> outages--; isUp = false }
  :: !isUp -> isUp = true
  od
}

/* A region without an owner gets one after the faults stop. */
ltl takeoverCompletes {
  [] <> ((isOwner[0] && isEpochCurrent[0]) || (isOwner[1] && isEpochCurrent[1]))
}
