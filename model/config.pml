/*
 * Configuration head: two operators change it through two daemons with compare-and-set; three
 * daemons poll the head, push to peers and take the configuration from peers after a restart. A
 * configuration is the set of changes it contains (bit 0 and bit 1); its revision is its number in
 * the history of the head. Object writes precede the head write and are abstracted to it. Peer
 * messages are reordered and arrive arbitrarily late.
 */
#include "common.pml"

#define N 3

hidden byte neverReverts, acceptedKept, noFalseFailure, inForceIsAccepted, restartNotOlder;

mtype { waiting, accepted, conflict, unknown };

bool isUp = true;
byte outages = 1, losses = 2, restarts = 1;
byte head;              /* revision */
byte content[4];        /* set of changes of each revision */
byte lastOperation = 2; /* operation id of the head's last write */
mtype answer[2] = waiting;
byte inForce[N];
bool isLate[2];
byte lateBase[2];
chan push = [2] of { byte, byte }; /* target, revision */

inline setInForce(d, revision) {
  must(neverReverts, revision >= inForce[d]);
  must(inForceIsAccepted, revision <= head);
  inForce[d] = revision
}

/* The head write of operator me on top of revision base. */
inline applyChange(who, base) {
  head++; content[head] = content[base] | (1 << who); lastOperation = who;
  must(acceptedKept, (answer[0] != accepted || (content[head] & 1)) &&
                     (answer[1] != accepted || (content[head] & 2)))
}

/* Whether the change of operator who is in the history of the head, by the manifests' chain. */
#define isContained(who) (content[head] & (1 << who))

inline finish(kind) {
  must(noFalseFailure, kind != conflict || !isContained(me));
  answer[me] = kind
}

active [2] proctype Operator() {
  byte me = _pid;
  byte base;
  do
  :: atomic { isUp -> base = head };
     if
     :: atomic { isUp && head == base -> applyChange(me, base); finish(accepted); break }
     :: atomic { isUp && head == base && losses > 0 -> losses--; applyChange(me, base) }
     :: atomic { isUp && losses > 0 -> losses--; isLate[me] = true; lateBase[me] = base }
     :: atomic { isUp && head != base -> finish(conflict); break }
     :: !isUp
     fi;
     /* no reply: reads back and compares */
     if
#ifdef BLIND_RETRY
     /* repeats the write without its condition */
     :: atomic { isUp && head < 3 -> applyChange(me, base); finish(accepted); break }
#endif
#ifdef COMPARE_LAST_WRITER
     :: atomic { isUp && lastOperation == me -> finish(accepted); break }
     :: atomic { isUp && lastOperation != me && head != base -> finish(conflict); break }
#else
     :: atomic { isUp && isContained(me) -> finish(accepted); break }
     :: atomic { isUp && !isContained(me) && head != base -> finish(conflict); break }
#endif
     :: atomic { isUp && head == base && !isLate[me] } /* certainly not written */
     :: atomic { isUp && head == base && isLate[me] -> finish(unknown); break }
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
  :: atomic { restarts > 0 -> restarts--; /* replaced; starts from the highest revision of its peers */
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

/* The configuration at the head comes into force everywhere. */
ltl configurationSpreads {
  <> [] (inForce[0] == head && inForce[1] == head && inForce[2] == head)
}
/* Every operator gets an answer. */
ltl operatorsAnswered { <> (answer[0] != waiting && answer[1] != waiting) }
