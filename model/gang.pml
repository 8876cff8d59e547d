/*
 * Start, stop and recovery of one gang job of two members on three workers, under successive
 * owners. An owner may be deposed between any two steps and carries on with old knowledge until a
 * fence or a table condition refuses it; its death is a pause that does not end. An exchange with a worker is one step; the faulty
 * one leaves its command under way, to arrive at any later time or never. A worker may be lost
 * with its tasks, or be cut off from the owners while its tasks run on until their lease expires.
 * Time is abstracted: the lease of a task may expire once no owner renews it, which is the case on
 * a worker that is cut off and for a task that is not in the job row; an owner that cannot reach a
 * worker waits for the end of the lease before it queues the job again.
 */
#include "common.pml"

#define MAX 2 /* maxAttempts */
#ifndef N /* workers, successive owners and the number of each fault */
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
byte attempt;               /* attempt in the row */
byte place;                 /* members of the attempt, as a set of workers */
byte epoch;                 /* epoch row */
byte wasHeld;               /* members of the attempt that have been held */
bool wasCommitted;          /* the attempt was committed as running */

mtype task[N] = none;
byte taskAttempt[N];
byte seenEpoch[N];
byte recovered[N];          /* highest epoch that recovered the worker; not part of the protocol */
bool isLost[N], isCut[N];
byte losses = LOSSES, lostBudget = WORKERS_LOST, cuts = CUTS;
chan late[N] = [1] of { mtype, byte, byte };

#define isMember(w) (place & (1 << w))
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
#define isOverlapping(w) (task[w] == executing && taskAttempt[w] != a)
#define isMissing(w) (isMember(w) && !isReachable(w))
#define isUnreleased(w) (isMember(w) && task[w] == held && isReachable(w))

/* Effect of a command on worker w; a command of an old epoch is refused. */
inline apply(w, kind, e, a) {
  if
#ifdef NO_FENCING
  :: true ->
#else
  :: e >= seenEpoch[w] ->
#endif
     must(fencedCommand, e >= recovered[w]);
     seenEpoch[w] = (e > seenEpoch[w] -> e : seenEpoch[w]);
     if
     :: kind == fence -> recovered[w] = e
     :: kind == hold && !isActive(w) ->
        must(committedStart, attempt >= a);
        task[w] = held; taskAttempt[w] = a;
        if :: a == attempt -> wasHeld = wasHeld | (1 << w) :: else fi
     :: kind == release && task[w] == held && taskAttempt[w] == a ->
        must(releaseAfterHold, a < attempt || (wasHeld & place) == place);
        must(runningCommitted, a < attempt || wasCommitted);
        must(noOverlap, !forAny(isOverlapping));
        task[w] = executing
     :: kind == stop && isActive(w) -> task[w] = none; taskAttempt[w] = 0
     :: else
     fi
  :: else
  fi
}

/* One exchange; isDone tells whether the owner got a reply and its epoch was accepted. */
inline exchange(w, kind, a) {
  atomic {
    if
    :: isReachable(w) && me >= seenEpoch[w] -> apply(w, kind, me, a); isDone = true
    :: isReachable(w) && me < seenEpoch[w] -> /* stale_epoch */
       isDone = false;
#ifndef NO_FENCING
       goto gone
#else
       apply(w, kind, me, a); isDone = true
#endif
    :: losses > 0 && !isLost[w] && kind != fence && nfull(late[w]) ->
       losses--; late[w]!kind, me, a; isDone = false
    :: !isReachable(w) -> isDone = false
    fi
  }
}

/* Writes the job row, conditional on the epoch row. */
inline commit(newState) {
  if
  :: epoch == me -> row = newState
  :: epoch != me -> goto gone
  fi
}

/* Stops the task of worker w; an unreachable worker is waited for until its lease has expired. */
inline stopTask(w) {
  do
  :: isDone -> break
  :: !isDone && isReachable(w) -> exchange(w, stop, known)
#ifdef REQUEUE_AT_ONCE
  :: !isDone && !isReachable(w) -> break
#else
  :: !isDone && !isReachable(w) && !isActive(w) -> break
#endif
  od
}

inline stopGang() {
  w = 0;
  do
  :: atomic { w < N -> isDone = false }; stopTask(w); w++
  :: else -> break
  od;
  atomic {
    if
    :: known >= MAX -> commit(failed)
    :: else -> commit(queued)
    fi;
    w = 0; isDone = false
  }
}

inline chooseWorkers() {
  if
  :: atomic { isReachable(0) && isReachable(1) -> chosen = 3 }
#if N == 3
  :: atomic { isReachable(0) && isReachable(2) -> chosen = 5 }
  :: atomic { isReachable(1) && isReachable(2) -> chosen = 6 }
#endif
  :: epoch != me -> goto gone
  fi
}

#define inPlace(w) (chosen & (1 << w))

inline holdAll() {
  atomic { w = 0; isOk = true };
  do
  :: w < N && inPlace(w) && isOk ->
     exchange(w, hold, known);
     atomic { isOk = isDone && task[w] == held && taskAttempt[w] == known; isDone = false };
#ifdef RELEASE_BEFORE_ALL_HELD
     exchange(w, release, known);
#endif
     w++
  :: w < N && !(inPlace(w) && isOk) -> w++
  :: w == N -> break
  od
}

inline releaseAll() {
  w = 0;
  do
  :: w < N && inPlace(w) -> exchange(w, release, known); atomic { isDone = false; w++ }
  :: w < N && !inPlace(w) -> w++
  :: w == N -> w = 0; isDone = false; isOk = false; break
  od
}

inline recover() {
  w = 0;
  do
  :: w < N ->
     exchange(w, fence, 0);
     atomic { isDone = false; w++ }
  :: else -> break
  od;
  atomic { known = attempt; chosen = place; w = 0; isDone = false }
}

active [OWNERS] proctype Owner() {
  byte me = _pid + 1; /* its epoch */
  byte known, chosen, w;
  bool isDone, isOk;
  atomic { epoch == me - 1 -> epoch = me };
  recover();
  do
  :: row == finished || row == failed || epoch != me -> goto gone
  :: epoch == me && row == queued -> chooseWorkers();
#ifdef START_BEFORE_COMMIT
     known++;
     holdAll();
#endif
     atomic {
       commit(starting); must(fencedWrite, epoch == me);
       attempt++; known = attempt; place = chosen; wasHeld = 0; wasCommitted = false
     };
     holdAll();
     if
     :: atomic { isOk -> commit(running); wasCommitted = true }; releaseAll()
     :: else -> stopGang()
     fi
  :: atomic { epoch == me && row == starting -> chosen = place; known = attempt }; stopGang()
  :: epoch == me && row == running ->
     if
     :: atomic { forAll(isComplete) && epoch == me -> row = finished }
     :: atomic { isUnreleased(0) -> w = 0 }; exchange(w, release, known)
     :: atomic { isUnreleased(1) -> w = 1 }; exchange(w, release, known)
#if N == 3
     :: atomic { isUnreleased(2) -> w = 2 }; exchange(w, release, known)
#endif
     :: !isWhole || forAny(isMissing) -> stopGang()
     :: epoch != me -> goto gone
     fi
  od;
gone:
  atomic { known = 0; chosen = 0; w = 0; isDone = false; isOk = false }
}

active [N] proctype Worker() {
  byte w = _pid - OWNERS;
  mtype kind; byte e, a;
end:
  do
  :: atomic { task[w] == executing -> task[w] = complete }
  :: atomic { isActive(w) && !isRenewed(w) -> task[w] = none; taskAttempt[w] = 0 } /* the lease expires */
  :: atomic { isCut[w] -> isCut[w] = false }
  :: atomic { !isLost[w] && late[w]?[kind, e, a] ->
       late[w]?kind, e, a; apply(w, kind, e, a); kind = 0; e = 0; a = 0 }
  :: atomic { late[w]?[kind, e, a] -> late[w]?kind, e, a; kind = 0; e = 0; a = 0 } /* never arrives */
  :: atomic { lostBudget > 0 && !isCut[w] -> lostBudget--;
       isLost[w] = true; task[w] = none; taskAttempt[w] = 0 }
  :: atomic { isLost[w] -> isLost[w] = false; seenEpoch[w] = 0; recovered[w] = 0 } /* replaced */
  :: atomic { cuts > 0 && !isLost[w] -> cuts--; isCut[w] = true }
  od
}

/* An accepted job ends. */
ltl jobEnds { <> (row == finished || row == failed) }
/* A part of a gang never keeps running without the rest. */
ltl partStops { [] ((forAny(isExecuting) && !isWhole) -> <> !(forAny(isExecuting) && !isWhole)) }
