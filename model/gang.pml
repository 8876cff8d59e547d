/*
 * Start, stop and recovery of one gang job of two members on two or three workers, under successive
 * owners. An owner may be deposed between any two steps; it continues with stale knowledge until a
 * fence or a condition of the table refuses it. A crashed owner is one that pauses for ever.
 *
 * An exchange with a worker is one step. A failed exchange leaves its command in flight, to arrive
 * at any later time or never. A worker may be lost with its tasks. It may also be cut off from the
 * owners while its tasks run on until their lease expires.
 *
 * Time is abstracted: the lease of a task may expire once no owner renews it, which is the case on
 * a worker that is cut off and for a task that is not in the job row. An owner that cannot reach a
 * worker waits for the lease to expire before it requeues the job.
 */
#include "common.pml"

#define MAX 2 /* maxAttempts */
#ifndef N /* workers, successive owners and the limit of each kind of fault */
#define N 2
#define OWNERS 2
#define LOSSES 1
#define WORKERS_LOST 1
#define CUTS 1
#endif

hidden byte committedStart, runningCommitted, releaseAfterHold, noOverlap, fencedCommand,
  fencedWrite;

mtype { queued, starting, running, finished, failed };          /* job row */
mtype { none, held, executing, complete };           /* task on a worker */
mtype { fence, hold, release, stop };                           /* commands */

mtype row = queued;
byte attempt;               /* attempt in the job row */
byte members;               /* bit set of the attempt's workers */
byte epoch;                 /* epoch row: the current owner */
byte heldMembers;           /* bit set of the attempt's workers that have held their task */
bool wasCommitted;          /* the attempt has been committed as running */

mtype task[N] = none;
byte taskAttempt[N];
byte seenEpoch[N];          /* highest epoch that the worker received */
byte recovered[N];          /* highest epoch whose fence arrived; only for the properties */
bool isLost[N], isCut[N];   /* lost with its tasks; cut off from the owners */
byte losses = LOSSES, workerLosses = WORKERS_LOST, cuts = CUTS;
chan delayed[N] = [1] of { mtype, byte, byte }; /* commands in flight: kind, epoch, attempt */

#define isMember(w) (members & (1 << w))
#define isActive(w) (task[w] == held || task[w] == executing)
#define isPresent(w) (!isMember(w) || \
  (taskAttempt[w] == attempt && (isActive(w) || task[w] == complete)))
#define isReachable(w) (!isLost[w] && !isCut[w])
#define isRenewed(w) (!isCut[w] && isMember(w) && taskAttempt[w] == attempt && \
  (row == starting || row == running))
#if N == 3
#define forAll(p) (p(0) && p(1) && p(2))
#define forAny(p) (p(0) || p(1) || p(2))
#else
#define forAll(p) (p(0) && p(1))
#define forAny(p) (p(0) || p(1))
#endif
#define isWhole forAll(isPresent)
#define isExecuting(w) (task[w] == executing)
#define isComplete(w) (!isMember(w) || (task[w] == complete && taskAttempt[w] == attempt))
#define isOverlapping(w) (task[w] == executing && taskAttempt[w] != commandAttempt)
#define isMissing(w) (isMember(w) && !isReachable(w))
#define isUnreleased(w) (isMember(w) && task[w] == held && isReachable(w))

/* Applies a command on worker w, which refuses stale epochs. */
inline applyCommand(w, kind, commandEpoch, commandAttempt) {
  if
#ifdef NO_FENCING
  :: true ->
#else
  :: commandEpoch >= seenEpoch[w] ->
#endif
     must(fencedCommand, commandEpoch >= recovered[w]);
     seenEpoch[w] = (commandEpoch > seenEpoch[w] -> commandEpoch : seenEpoch[w]);
     if
     :: kind == fence -> recovered[w] = commandEpoch
     :: kind == hold && !isActive(w) ->
        must(committedStart, attempt >= commandAttempt);
        task[w] = held; taskAttempt[w] = commandAttempt;
        if :: commandAttempt == attempt -> heldMembers = heldMembers | (1 << w) :: else fi
     :: kind == release && task[w] == held && taskAttempt[w] == commandAttempt ->
        must(releaseAfterHold, commandAttempt < attempt || (heldMembers & members) == members);
        must(runningCommitted, commandAttempt < attempt || wasCommitted);
        must(noOverlap, !forAny(isOverlapping));
        task[w] = executing
     :: kind == stop && isActive(w) -> task[w] = none; taskAttempt[w] = 0
     :: else
     fi
  :: else
  fi
}

/* Sends a command; isAcked tells whether the worker accepted the epoch and its reply arrived. */
inline exchange(w, kind, commandAttempt) {
  atomic {
    if
    :: isReachable(w) && me >= seenEpoch[w] ->
       applyCommand(w, kind, me, commandAttempt); isAcked = true
    :: isReachable(w) && me < seenEpoch[w] -> /* stale_epoch */
       isAcked = false;
#ifndef NO_FENCING
       goto deposed
#else
       applyCommand(w, kind, me, commandAttempt); isAcked = true
#endif
    :: losses > 0 && !isLost[w] && kind != fence && nfull(delayed[w]) ->
       losses--; delayed[w]!kind, me, commandAttempt; isAcked = false
    :: !isReachable(w) -> isAcked = false
    fi
  }
}

/* Writes the job row on the condition that the epoch row is unchanged. */
inline commit(newState) {
  if
  :: epoch == me -> row = newState
  :: epoch != me -> goto deposed
  fi
}

/* Stops the task of worker w; if w is unreachable, waits until the lease of the task expires. */
inline stopTask(w) {
  do
  :: isAcked -> break
  :: !isAcked && isReachable(w) -> exchange(w, stop, knownAttempt)
#ifdef REQUEUE_AT_ONCE
  :: !isAcked && !isReachable(w) -> break
#else
  :: !isAcked && !isReachable(w) && !isActive(w) -> break
#endif
  od
}

inline stopGang() {
  w = 0;
  do
  :: atomic { w < N -> isAcked = false }; stopTask(w); w++
  :: else -> break
  od;
  atomic {
    if
    :: knownAttempt >= MAX -> commit(failed)
    :: else -> commit(queued)
    fi;
    w = 0; isAcked = false
  }
}

inline chooseWorkers() {
  if
  :: atomic { isReachable(0) && isReachable(1) -> chosen = 3 }
#if N == 3
  :: atomic { isReachable(0) && isReachable(2) -> chosen = 5 }
  :: atomic { isReachable(1) && isReachable(2) -> chosen = 6 }
#endif
  :: epoch != me -> goto deposed
  fi
}

#define isChosen(w) (chosen & (1 << w))

inline holdAll() {
  atomic { w = 0; isGangHeld = true };
  do
  :: w < N && isChosen(w) && isGangHeld ->
     exchange(w, hold, knownAttempt);
     atomic {
       isGangHeld = isAcked && task[w] == held && taskAttempt[w] == knownAttempt;
       isAcked = false
     };
#ifdef RELEASE_BEFORE_ALL_HELD
     exchange(w, release, knownAttempt);
#endif
     w++
  :: w < N && !(isChosen(w) && isGangHeld) -> w++
  :: w == N -> break
  od
}

inline releaseAll() {
  w = 0;
  do
  :: w < N && isChosen(w) -> exchange(w, release, knownAttempt); atomic { isAcked = false; w++ }
  :: w < N && !isChosen(w) -> w++
  :: w == N -> w = 0; isAcked = false; isGangHeld = false; break
  od
}

inline recover() {
  w = 0;
  do
  :: w < N ->
     exchange(w, fence, 0);
     atomic { isAcked = false; w++ }
  :: else -> break
  od;
  atomic { knownAttempt = attempt; chosen = members; w = 0; isAcked = false }
}

active [OWNERS] proctype Owner() {
  byte me = _pid + 1; /* epoch of this owner */
  byte knownAttempt, chosen, w;
  bool isAcked, isGangHeld;
  atomic { epoch == me - 1 -> epoch = me };
  recover();
  do
  :: row == finished || row == failed || epoch != me -> goto deposed
  :: epoch == me && row == queued -> chooseWorkers();
#ifdef START_BEFORE_COMMIT
     knownAttempt++;
     holdAll();
#endif
     atomic {
       commit(starting); must(fencedWrite, epoch == me);
       attempt++; knownAttempt = attempt; members = chosen; heldMembers = 0; wasCommitted = false
     };
     holdAll();
     if
     :: atomic { isGangHeld -> commit(running); wasCommitted = true }; releaseAll()
     :: else -> stopGang()
     fi
  :: atomic { epoch == me && row == starting -> chosen = members; knownAttempt = attempt };
     stopGang()
  :: epoch == me && row == running ->
     if
     :: atomic { forAll(isComplete) && epoch == me -> row = finished }
     :: atomic { isUnreleased(0) -> w = 0 }; exchange(w, release, knownAttempt)
     :: atomic { isUnreleased(1) -> w = 1 }; exchange(w, release, knownAttempt)
#if N == 3
     :: atomic { isUnreleased(2) -> w = 2 }; exchange(w, release, knownAttempt)
#endif
     :: !isWhole || forAny(isMissing) -> stopGang()
     :: epoch != me -> goto deposed
     fi
  od;
deposed:
  atomic { knownAttempt = 0; chosen = 0; w = 0; isAcked = false; isGangHeld = false }
}

active [N] proctype Worker() {
  byte w = _pid - OWNERS;
  mtype kind; byte commandEpoch, commandAttempt;
end:
  do
  :: atomic { task[w] == executing -> task[w] = complete }
  :: atomic { isActive(w) && !isRenewed(w) -> /* the lease expires */
       task[w] = none; taskAttempt[w] = 0 }
  :: atomic { isCut[w] -> isCut[w] = false }
  :: atomic { !isLost[w] && delayed[w]?[kind, commandEpoch, commandAttempt] ->
       delayed[w]?kind, commandEpoch, commandAttempt;
       applyCommand(w, kind, commandEpoch, commandAttempt);
       kind = 0; commandEpoch = 0; commandAttempt = 0 }
  :: atomic { delayed[w]?[kind, commandEpoch, commandAttempt] -> /* never arrives */
       delayed[w]?kind, commandEpoch, commandAttempt;
       kind = 0; commandEpoch = 0; commandAttempt = 0 }
  :: atomic { workerLosses > 0 && !isCut[w] -> workerLosses--;
       isLost[w] = true; task[w] = none; taskAttempt[w] = 0 }
  :: atomic { isLost[w] -> /* replaced by a new worker */
       isLost[w] = false; seenEpoch[w] = 0; recovered[w] = 0 }
  :: atomic { cuts > 0 && !isLost[w] -> cuts--; isCut[w] = true }
  od
}

/* The job ends. */
ltl jobEnds { <> (row == finished || row == failed) }
/* An incomplete gang stops executing. */
ltl partStops { [] ((forAny(isExecuting) && !isWhole) -> <> !(forAny(isExecuting) && !isWhole)) }
