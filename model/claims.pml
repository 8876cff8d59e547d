/*
 * Claims of a non-idempotent request. A caller sends the same request id to up to three daemons,
 * in turn or at once (a repeat after a connection reset). The claim row, the group commit that
 * writes it (abstracted to one row), the dispatch and the stored outcome are explicit. A commit may
 * be lost before or after its effect, or take effect after its writer timed out. The store may be
 * down, a daemon may crash at any step, and the endpoint's response may be lost.
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
byte executions;            /* times the endpoint executed the request */
bool isDispatched[N];       /* the daemon's dispatch reached the endpoint */
mtype answer[N] = waiting;
bool isLate[N];             /* a claim that timed out for its writer may still take effect */

inline reply(kind) {
#ifdef WHOLE_REQUEST
  must(notRun, kind != notRunAnswer || executions == 0);
#else
  must(notRun, kind != notRunAnswer || !isDispatched[me]);
#endif
  must(ownOutcome, kind != outcomeAnswer || executions == 1);
  answer[me] = kind
}

inline dispatch() {
  executions++; isDispatched[me] = true;
  must(atMostOnce, executions <= 1);
  must(claimBeforeDispatch, row != absent && writer == me)
}

/* Decides what the daemon does after it has read the row back. */
inline decideByRow() {
  if
  :: row == claimed && writer == me -> hasClaim = true
  :: row == claimed && writer != me -> reply(unknownAnswer); goto end
  :: row == done -> reply(outcomeAnswer); goto end
  :: row == absent -> reply(unknownAnswer); goto end /* the write may still take effect */
  fi
}

active [N] proctype Daemon() {
  byte me = _pid;
  bool hasClaim;
  /* claim */
  if
  :: atomic { isUp && row == absent -> row = claimed; writer = me; hasClaim = true }
  :: atomic { isUp && row == absent && losses > 0 -> losses--; row = claimed; writer = me }
  :: atomic { isUp && losses > 0 -> losses--; isLate[me] = true }
  :: atomic { isUp && row != absent -> decideByRow() }
  :: atomic { !isUp -> reply(notRunAnswer); goto end } /* refused before anything was sent */
  fi;
#ifdef BLIND_RETRY
  hasClaim = true; /* treats the lost reply as success */
#else
  if
  :: hasClaim
  :: else -> atomic { isUp -> decideByRow() }
  fi;
#endif
  if
  :: atomic { crashes > 0 -> crashes--; answer[me] = resetAnswer; goto end }
  :: skip
  :: goto release /* no endpoint became available before the deadline */
  fi;
#ifdef RETRY_AFTER_DISPATCH
again:
#endif
  atomic { dispatch() };
  if
  :: skip
  :: atomic { crashes > 0 -> crashes--; answer[me] = resetAnswer; goto end }
  :: atomic { losses > 0 -> losses-- }; /* the endpoint's response is lost */
#ifdef RETRY_AFTER_DISPATCH
     goto again;
#endif
#ifdef RELEASE_AFTER_DISPATCH
     goto release;
#endif
     atomic { reply(unknownAnswer); goto end }
  fi;
  /* stores the outcome; the caller gets its response even if that fails */
  if
  :: atomic { isUp && row == claimed && writer == me -> row = done }
  :: skip
  fi;
  atomic { reply(outcomeAnswer); goto end };
release:
  if
  :: atomic { isUp && row == claimed && writer == me -> row = absent; writer = N }
  :: skip /* the store is down or the deletion is lost */
  fi;
#ifdef RELEASE_AFTER_DISPATCH
  atomic { answer[me] = unknownAnswer };
#else
  atomic { reply(notRunAnswer) };
#endif
end:
  skip
}

/* Delivers claims that timed out for their writers. */
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

/* Every caller gets a reply. */
ltl callersAnswered {
  <> (answer[0] != waiting && answer[1] != waiting && answer[2] != waiting)
}
