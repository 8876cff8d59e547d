/*
 * Slot credits of one endpoint with two slots, two daemons with a share of one slot each, and two
 * grantors. A restarted grantor counts as another grantor, because it lost its ledger. A slot in
 * use is abstracted to its longest lifetime: from the grant to the last deadline of a request
 * dispatched on it (LIFE ticks). Delegations travel in heartbeats that may be arbitrarily late. All
 * clocks run at the same rate; the margin for clock drift is not modelled.
 */
#include "common.pml"

#define PROMISE 3   /* lifetime of a delegation, in ticks */
#ifndef LIFE
#define LIFE 2      /* creditMs plus the longest time from dispatch to deadline, in ticks */
#endif
#define NONE 2

hidden byte slotsBound;

byte grantor[2] = NONE; /* grantor to which each daemon has delegated its share */
byte promiseLeft[2];    /* ticks until the delegation expires, by the daemon's clock */
byte ownLeft[2];        /* ticks that the daemon may still use its own share */
bool isSent[4];         /* a delegation of daemon d to grantor g is in flight: index 2 * g + d */
byte sentLeft[4];       /* ticks until that delegation expires */
byte countedLeft[4];    /* ticks that grantor g still counts the delegation of daemon d */
byte slots[4];          /* ticks left of slots granted by g: indices 2 * g and 2 * g + 1 */

#define used(x) (x > 0 -> 1 : 0)
#define inUse (used(slots[0]) + used(slots[1]) + used(slots[2]) + used(slots[3]) + \
  used(ownLeft[0]) + used(ownLeft[1]))

/* Whether a delegation lasts long enough for its grantor to grant a slot against it. */
#ifdef GRANT_PAST_PROMISE
#define backing(i) (countedLeft[i] > 0 -> 1 : 0)
#else
#define backing(i) (countedLeft[i] >= LIFE -> 1 : 0)
#endif

active [2] proctype Daemon() {
  byte me = _pid, g;
end:
  do
  :: atomic { /* delegates its share to a grantor or renews the delegation */
       if
       :: g = 0
       :: g = 1
       fi;
       if
       :: !isSent[2 * g + me] &&
#ifndef DELEGATE_WHILE_USING
          ownLeft[me] == 0 &&
#endif
#ifdef CHANGE_EARLY
          true ->
#else
          (grantor[me] == g || promiseLeft[me] == 0) ->
#endif
          grantor[me] = g; promiseLeft[me] = PROMISE;
          isSent[2 * g + me] = true; sentLeft[2 * g + me] = PROMISE
       :: else
       fi;
       g = 0 }
  :: atomic { promiseLeft[me] == 0 && ownLeft[me] == 0 -> /* no grantor is reachable */
       grantor[me] = NONE; ownLeft[me] = LIFE; must(slotsBound, inUse <= 2) }
  od
}

active [2] proctype Grantor() {
  byte firstIndex = 2 * (_pid - 2), i;
end:
  do
  :: atomic { isSent[firstIndex] || isSent[firstIndex + 1] ->
       if
       :: isSent[firstIndex] -> i = firstIndex
       :: isSent[firstIndex + 1] -> i = firstIndex + 1
       fi;
       isSent[i] = false;
#ifdef COUNT_FROM_RECEIPT
       countedLeft[i] = PROMISE;
#else
       /* counts from when the grantor sent the heartbeat that the delegation answers */
       if :: sentLeft[i] > countedLeft[i] -> countedLeft[i] = sentLeft[i] :: else fi;
#endif
       sentLeft[i] = 0; i = 0 }
  :: atomic { used(slots[firstIndex]) + used(slots[firstIndex + 1]) <
              backing(firstIndex) + backing(firstIndex + 1) ->
       if
       :: slots[firstIndex] == 0 -> slots[firstIndex] = LIFE
       :: else -> slots[firstIndex + 1] = LIFE
       fi;
       must(slotsBound, inUse <= 2) }
  od
}

#define decrement(x) x = (x > 0 -> x - 1 : 0)

active proctype Clock() {
  byte i;
  do
  :: atomic {
       i = 0;
       do
       :: i < 4 -> decrement(sentLeft[i]); decrement(countedLeft[i]); decrement(slots[i]); i++
       :: else -> break
       od;
       decrement(promiseLeft[0]); decrement(promiseLeft[1]);
       decrement(ownLeft[0]); decrement(ownLeft[1]); i = 0 }
  od
}
