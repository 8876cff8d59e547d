/*
 * Claims of a non-idempotent request. A caller sends the same request id to up to three daemons in
 * turn or at once (a repeat after a reset connection). The claim row, the group commit that carries
 * it (abstracted to one row), the dispatch and the stored outcome are explicit. A commit may be
 * lost before or after its effect or take effect after its writer gave up on it; the store may be
 * down; a daemon may die at any step; the endpoint's answer may be lost.
 */
#include "common.pml"

#define N 3

hidden byte atMostOnce, notRun, ownOutcome, claimBeforeDispatch;

mtype { absent, claimed, done };            /* state of the claim row */
mtype { waiting, notRunAnswer, unknownAnswer, outcomeAnswer, resetAnswer };

bool isUp = true;
byte outages = 1, losses = 2, crashes = 1;
mtype row = absent;
byte writer = N;            /* operation id of the row's last write */
byte runs;                  /* times the endpoint executed the request */
bool isDispatched[N];       /* the exchange of this daemon reached the endpoint */
mtype answer[N] = waiting;
bool isLate[N];             /* a claim whose writer gave up on it is still under way */

inline finish(kind) {
#ifdef WHOLE_REQUEST
  must(notRun, kind != notRunAnswer || runs == 0);
#else
  must(notRun, kind != notRunAnswer || !isDispatched[me]);
#endif
  must(ownOutcome, kind != outcomeAnswer || runs == 1);
  answer[me] = kind
}

inline dispatch() {
  runs++; isDispatched[me] = true;
  must(atMostOnce, runs <= 1);
  must(claimBeforeDispatch, row != absent && writer == me)
}

/* What the daemon does after it has read the row back. */
inline decideByRow() {
  if
  :: row == claimed && writer == me -> isMine = true
  :: row == claimed && writer != me -> finish(unknownAnswer); goto end
  :: row == done -> finish(outcomeAnswer); goto end
  :: row == absent -> finish(unknownAnswer); goto end /* the write may still take effect */
  fi
}

active [N] proctype Daemon() {
  byte me = _pid;
  bool isMine;
  /* claim */
  if
  :: atomic { isUp && row == absent -> row = claimed; writer = me; isMine = true }
  :: atomic { isUp && row == absent && losses > 0 -> losses--; row = claimed; writer = me }
  :: atomic { isUp && losses > 0 -> losses--; isLate[me] = true }
  :: atomic { isUp && row != absent -> decideByRow() }
  :: atomic { !isUp -> finish(notRunAnswer); goto end } /* refused before anything was sent */
  fi;
#ifdef BLIND_RETRY
  isMine = true; /* takes the lost reply for a success */
#else
  if
  :: isMine
  :: else -> atomic { isUp -> decideByRow() }
  fi;
#endif
  if
  :: atomic { crashes > 0 -> crashes--; answer[me] = resetAnswer; goto end }
  :: skip
  :: goto release /* no endpoint is at hand before the deadline */
  fi;
#ifdef RETRY_AFTER_DISPATCH
again:
#endif
  atomic { dispatch() };
  if
  :: skip
  :: atomic { crashes > 0 -> crashes--; answer[me] = resetAnswer; goto end }
  :: atomic { losses > 0 -> losses-- }; /* the answer of the endpoint is lost */
#ifdef RETRY_AFTER_DISPATCH
     goto again;
#endif
#ifdef RELEASE_AFTER_DISPATCH
     goto release;
#endif
     atomic { finish(unknownAnswer); goto end }
  fi;
  /* outcome; the caller gets its own answer even when storing fails */
  if
  :: atomic { isUp && row == claimed && writer == me -> row = done }
  :: skip
  fi;
  atomic { finish(outcomeAnswer); goto end };
release:
  if
  :: atomic { isUp && row == claimed && writer == me -> row = absent; writer = N }
  :: skip /* the store is down or the deletion is lost */
  fi;
#ifdef RELEASE_AFTER_DISPATCH
  atomic { answer[me] = unknownAnswer };
#else
  atomic { finish(notRunAnswer) };
#endif
end:
  skip
}

/* Claims that arrive after their writer gave up on them. */
active proctype Network() {
  byte i;
end:
  do
  :: atomic { isUp && (isLate[0] || isLate[1] || isLate[2]) ->
       if
       :: isLate[0] -> i = 0
       :: isLate[1] -> i = 1
       :: isLate[2] -> i = 2
       fi;
       isLate[i] = false;
       if
       :: row == absent -> row = claimed; writer = i
       :: else
       fi;
       i = 0 }
  od
}

active proctype Store() {
end:
  do
  :: atomic { isUp && outages > 0 -> outages--; isUp = false }
  :: !isUp -> isUp = true
  od
}

/* Every caller gets an answer. */
ltl callersAnswered {
  <> (answer[0] != waiting && answer[1] != waiting && answer[2] != waiting)
}
