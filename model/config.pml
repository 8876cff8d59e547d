/*
 * Head of the configuration. Two operators change it through two daemons with compare-and-set.
 * Three daemons poll the head, push newer revisions to peers, and read the configuration from
 * peers after a restart. A configuration is the set of changes it contains (bits 0 and 1); its
 * revision is its position in the history of the head. Object writes precede the write of the head
 * and are part of that step here. Peer messages may be reordered and arbitrarily late.
 */
#include "common.pml"

#define N 3

hidden byte neverReverts, acceptedKept, noFalseFailure, inForceIsAccepted, restartNotOlder;

mtype { waiting, accepted, conflict, unknown };

bool isUp = true;
byte outages = 1, losses = 2, restarts = 1;
byte head;              /* revision of the current configuration */
byte changes[4];        /* set of changes by revision */
byte lastOperation = 2; /* operation id of the head's last write */
mtype answer[2] = waiting;
byte inForce[N];        /* revision that each daemon applies */
bool isLate[2];         /* a head write that timed out may still take effect */
byte lateBase[2];       /* revision that the late write is based on */
chan push = [2] of { byte, byte }; /* target, revision */

inline setInForce(d, revision) {
  must(neverReverts, revision >= inForce[d]);
  must(inForceIsAccepted, revision <= head);
  inForce[d] = revision
}

/* Writes the head: the change of an operator on top of revision baseRevision. */
inline applyChange(operator, baseRevision) {
  head++; changes[head] = changes[baseRevision] | (1 << operator); lastOperation = operator;
  must(acceptedKept, (answer[0] != accepted || (changes[head] & 1)) &&
                     (answer[1] != accepted || (changes[head] & 2)))
}

/* Whether the history of the head, read through its manifests, contains the operator's change. */
#define isContained(operator) (changes[head] & (1 << operator))

inline reply(kind) {
  must(noFalseFailure, kind != conflict || !isContained(me));
  answer[me] = kind
}

active [2] proctype Operator() {
  byte me = _pid;
  byte baseRevision;
  do
  :: atomic { isUp -> baseRevision = head };
     if
     :: atomic { isUp && head == baseRevision ->
          applyChange(me, baseRevision); reply(accepted); break }
     :: atomic { isUp && head == baseRevision && losses > 0 ->
          losses--; applyChange(me, baseRevision) }
     :: atomic { isUp && losses > 0 -> losses--; isLate[me] = true; lateBase[me] = baseRevision }
     :: atomic { isUp && head != baseRevision -> reply(conflict); break }
     :: !isUp
     fi;
     /* no reply: reads the head back and compares */
     if
#ifdef BLIND_RETRY
     /* retries the write without its condition */
     :: atomic { isUp && head < 3 -> applyChange(me, baseRevision); reply(accepted); break }
#endif
#ifdef COMPARE_LAST_WRITER
     :: atomic { isUp && lastOperation == me -> reply(accepted); break }
     :: atomic { isUp && lastOperation != me && head != baseRevision -> reply(conflict); break }
#else
     :: atomic { isUp && isContained(me) -> reply(accepted); break }
     :: atomic { isUp && !isContained(me) && head != baseRevision -> reply(conflict); break }
#endif
     :: atomic { isUp && head == baseRevision && !isLate[me] } /* certainly not written; retries */
     :: atomic { isUp && head == baseRevision && isLate[me] -> reply(unknown); break }
     fi
  od
}

active [N] proctype Daemon() {
  byte me = _pid - 2;
  byte revision;
end:
  do
  :: atomic { isUp && head > inForce[me] -> setInForce(me, head) }
  :: atomic { len(push) < 2 && inForce[me] > 0 && inForce[(me + 1) % N] < inForce[me] ->
       push!((me + 1) % N), inForce[me] }
  :: atomic { push??[eval(me), revision] -> push??eval(me), revision;
       if
#ifdef ACCEPT_STALE
       :: setInForce(me, revision)
#else
       :: revision > inForce[me] -> setInForce(me, revision)
       :: else
#endif
       fi;
       revision = 0 }
  :: atomic { restarts > 0 -> restarts--; /* restarts from the highest revision of its peers */
       inForce[me] = (inForce[(me + 1) % N] > inForce[(me + 2) % N] ->
                      inForce[(me + 1) % N] : inForce[(me + 2) % N]);
       must(restartNotOlder, inForce[me] >= inForce[(me + 1) % N] &&
                             inForce[me] >= inForce[(me + 2) % N]) }
  od
}

active proctype Network() {
  byte i;
end:
  do
  :: atomic { isUp && (isLate[0] || isLate[1]) ->
       if
       :: isLate[0] -> i = 0
       :: isLate[1] -> i = 1
       fi;
       isLate[i] = false;
       if
       :: head == lateBase[i] -> applyChange(i, lateBase[i])
       :: else
       fi;
       lateBase[i] = 0; i = 0 }
  od
}

active proctype Store() {
end:
  do
  :: atomic { isUp && outages > 0 -> outages--; isUp = false }
  :: !isUp -> isUp = true
  od
}

/* Every daemon eventually applies the configuration at the head. */
ltl configurationSpreads {
  <> [] (inForce[0] == head && inForce[1] == head && inForce[2] == head)
}
/* Every operator gets a reply. */
ltl operatorsAnswered { <> (answer[0] != waiting && answer[1] != waiting) }
