/*
 * Start orders to one worker that may restart under the same name. The owner may send a start
 * twice; each copy may arrive late, even after the worker restarted, and its reply may be lost.
 * Owners succeed each other; a successor knows only what the store holds. The task may also run on
 * a second worker, which is always reachable. A report is one exchange with the worker: the worker
 * takes the owner's fencing token and lists its active run and the runs that ended.
 *
 * An incarnation is the time from one start of the worker process to the next.
 */
#include "common.pml"

hidden byte onceAtATime, notAfterDone, endsSeen;

#ifndef TAKEOVERS
#define TAKEOVERS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define RUNS 3      /* total number of starts of the task */
#define COPIES 2    /* copies of starts that may be in flight at once */
#define TOKENS 4    /* fencing tokens per epoch, one for each incarnation of the worker */
#define UNKNOWN 9

/* State of the workers. A restart of the first one loses all of its state but the incarnation. */
byte incarnation;
byte fencingToken;  /* highest token received; 0 before the first call */
byte highestRun;    /* highest run started */
byte activeRun;     /* run that executes; 0 for none */
byte endedRun, endSequence; /* completed run that is still listed, and its sequence number */
byte endCount = 1;  /* ends in this incarnation; the first one belongs to another task */
byte activeElsewhere; /* run that executes on the second worker; 0 for none */
bool isFenced;      /* a report call for this incarnation has arrived */

/* The store: the owner's epoch, and the latest run with its placement. */
byte epoch = 1;
byte latestRun;
mtype { unplaced, here, elsewhere };
mtype placement = unplaced;
bool isDone,        /* the task is recorded as done */
     isAcked,       /* the end of a run was acknowledged */
     isEarlierDone; /* a run before the latest one is recorded as done */

/* Copies of starts in flight. */
byte copyRun[COPIES], copyToken[COPIES], copyIncarnation[COPIES];
byte copiesSent;    /* copies sent of the latest run's start */
bool isWindowOpen;  /* the latest run may still begin in the incarnation it was sent to */

/* State that only the owner's memory holds. */
byte knownIncarnation = UNKNOWN, incarnationsSeen;
byte cursor = 1;    /* highest sequence number of an end that was processed */
bool isListed,      /* a report listed the latest run as active */
     isAwaitingReport, /* the latest run is undecided until the next report */
     isConfirmed,   /* the worker confirmed a start of the latest run */
     isRestored;    /* the latest run was read from the store at a takeover */
bool hasLostCopy;   /* some copy of a start got no reply and may still be in flight */

#ifdef TOKEN_BY_EPOCH
#define ownerToken (epoch * TOKENS)
#else
#define ownerToken (epoch * TOKENS + incarnationsSeen)
#endif

inline startRun(r) {
  /* Late copies are fenced off only from the owner's first report call to an incarnation. */
  must(onceAtATime, activeRun == 0 && activeElsewhere == 0 || !isFenced);
  must(notAfterDone, !isAcked || !isFenced);
  activeRun = r; highestRun = r
}

inline sendCopy(i) {
  copyRun[i] = latestRun; copyToken[i] = ownerToken; copyIncarnation[i] = incarnation;
  copiesSent++
}

/* The task needs another run unless an earlier run was recorded as done meanwhile. */
inline clearPlacement() {
  placement = unplaced; isAwaitingReport = false; isDone = isDone || isEarlierDone
}

/* Delivers a copy to the worker; the reply may be lost. */
inline deliver(i) {
  r = copyRun[i]; isRefused = false;
  if
  :: copyToken[i] < fencingToken -> isRefused = true
  :: else ->
     fencingToken = copyToken[i];
     if
     :: activeRun == r -> skip
     :: activeRun != r && r <= highestRun -> isRefused = true
     :: activeRun != r && r > highestRun && copyIncarnation[i] == incarnation &&
          !(isWindowOpen && r == latestRun) -> isRefused = true
     :: else -> startRun(r)
     fi
  fi;
  copyRun[i] = 0;
  if
  :: r == latestRun && placement == here && !isRefused -> isConfirmed = true
#ifdef REFUSAL_DECIDES
  :: r == latestRun && placement == here && isRefused && !isAwaitingReport -> clearPlacement()
#else
  :: r == latestRun && placement == here && isRefused && !isAwaitingReport &&
       copiesSent == 1 && !isRestored -> clearPlacement()
#endif
  :: hasLostCopy = true /* the reply is lost */
  fi;
  r = 0; isRefused = false
}

/*
 * The owner learns of a new incarnation. A run that a late copy may have started there stays
 * undecided until the next report.
 */
inline recordRestart() {
  knownIncarnation = incarnation; incarnationsSeen++; cursor = 0;
  if
#ifdef DROP_ON_RESTART
  :: placement == here -> clearPlacement()
#else
  :: placement == here && !isListed -> isAwaitingReport = true
#ifdef FORGET_OLDER_COPIES
  :: placement == here && isListed && copiesSent > 1 -> isAwaitingReport = true
  :: placement == here && isListed && copiesSent <= 1 -> clearPlacement()
#else
  :: placement == here && isListed && hasLostCopy -> isAwaitingReport = true
  :: placement == here && isListed && !hasLostCopy -> clearPlacement()
#endif
#endif
  :: else
  fi
}

inline processEnds() {
  if
  :: endedRun != 0 && endedRun == latestRun && placement == here ->
     isDone = true; clearPlacement(); isAcked = true; cursor = endSequence; endedRun = 0
  :: endedRun != 0 && !(endedRun == latestRun && placement == here) ->
#ifndef FORGET_OLDER_ENDS
     if
     :: placement == unplaced -> isDone = true
     :: else -> isEarlierDone = true
     fi;
#endif
     must(endsSeen, isDone || isEarlierDone); isAcked = true; cursor = endSequence; endedRun = 0
  :: else
  fi
}

inline processRuns() {
  if
  :: activeRun != 0 && activeRun == latestRun && placement == here ->
     isListed = true; isAwaitingReport = false
  :: activeRun != 0 && !(activeRun == latestRun && placement == here) ->
     activeRun = 0 /* the owner stops it */
  :: activeRun == 0 && placement == here && isAwaitingReport -> clearPlacement()
  :: activeRun == 0 && placement == here && !isAwaitingReport &&
       (isConfirmed || isRestored || !isWindowOpen) -> clearPlacement()
  :: else
  fi
}

/*
 * The call acknowledges ends up to the cursor only if the worker cannot have restarted since its
 * last reply.
 */
inline report() {
  if
  :: ownerToken < fencingToken -> skip
  :: else ->
     fencingToken = ownerToken;
#ifdef CURSOR_ALWAYS
     if
     :: endedRun != 0 && endSequence <= cursor ->
        must(endsSeen, isDone || isEarlierDone); isAcked = true; endedRun = 0
     :: else
     fi;
#endif
     if
     :: knownIncarnation == UNKNOWN ->
        knownIncarnation = incarnation; isFenced = true; processEnds(); processRuns()
     :: knownIncarnation == incarnation -> isFenced = true; processEnds(); processRuns()
     :: else -> recordRestart()
     fi
  fi
}

active proctype Owner() {
end:
  do
  :: atomic { placement == unplaced && !isDone && latestRun < RUNS &&
       knownIncarnation == incarnation && isFenced && copyRun[0] == 0 ->
       latestRun++; placement = here; copiesSent = 0; isWindowOpen = true;
       isListed = false; isAwaitingReport = false; isConfirmed = false; isRestored = false;
       sendCopy(0) }
  :: atomic { placement == here && !isAwaitingReport && !isConfirmed && isWindowOpen &&
       !isRestored && copiesSent == 1 && copyRun[1] == 0 -> hasLostCopy = true; sendCopy(1) }
  :: atomic { placement == unplaced && !isDone && latestRun < RUNS && knownIncarnation != UNKNOWN ->
       latestRun++; placement = elsewhere; isWindowOpen = false;
       must(onceAtATime, activeRun == 0 || knownIncarnation != incarnation);
       activeElsewhere = latestRun }
  :: atomic { placement == elsewhere && activeElsewhere != 0 ->
       activeElsewhere = 0; isDone = true; isAcked = true; placement = unplaced }
  :: atomic { report() }
  od
}

active proctype Worker() {
  byte restarts = RESTARTS;
end:
  do
  :: atomic { activeRun != 0 ->
       endedRun = activeRun; activeRun = 0; endCount++; endSequence = endCount }
  :: atomic { restarts > 0 -> restarts--; incarnation++;
       fencingToken = 0; highestRun = 0; activeRun = 0; endedRun = 0;
       endCount = 0; endSequence = 0; isFenced = false }
  od
}

active proctype Network() {
  byte r;
  bool isRefused;
end:
  do
  :: atomic { copyRun[0] != 0 -> deliver(0) }
  :: atomic { copyRun[1] != 0 -> deliver(1) }
  :: atomic { isWindowOpen -> isWindowOpen = false; hasLostCopy = hasLostCopy || !isConfirmed }
  od
}

/* A new owner takes over: it has a higher epoch and knows only what the store holds. */
active proctype Takeover() {
  byte takeovers = TAKEOVERS;
end:
  do
  :: atomic { takeovers > 0 -> takeovers--; epoch++;
       knownIncarnation = UNKNOWN; incarnationsSeen = 0; cursor = 0;
       isListed = false; isAwaitingReport = false; isConfirmed = false; isRestored = true;
#ifdef FORGET_AT_TAKEOVER
       hasLostCopy = false;
#else
       hasLostCopy = true;
#endif
       isDone = isDone || isEarlierDone }
  od
}
