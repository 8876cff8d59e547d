/*
 * Slot credits of one endpoint with two slots, two daemons with a share of one slot each, and two
 * grantors; a restarted grantor is another grantor, because it has lost its ledger. A slot in use is
 * abstracted to its longest life: from the grant to the last deadline of a request dispatched on it
 * (LIFE ticks). Delegations travel in heartbeats that may arrive arbitrarily late. All clocks have
 * the same rate; the margin that covers their difference is not modelled.
 */
#include "common.pml"

#define PROMISE 3   /* time to live of a delegation, in ticks */
#ifndef LIFE
#define LIFE 2      /* creditMs plus the longest time from dispatch to deadline */
#endif
#define NONE 2

hidden byte slotsBound;

byte grantor[2] = NONE; /* to whom each daemon has delegated its share */
byte promiseLeft[2];    /* until then, by the daemon's clock */
byte ownLeft[2];        /* remaining life of the daemon's own use of its share */
bool isSent[4];         /* a delegation of daemon d to grantor g is under way: index 2 * g + d */
byte sentLeft[4];       /* its remaining time */
byte counted[4];        /* how long grantor g still counts the delegation of daemon d */
byte slots[4];          /* remaining life of slots granted by g: indices 2 * g and 2 * g + 1 */

#define used(x) (x > 0 -> 1 : 0)
#define inUse (used(slots[0]) + used(slots[1]) + used(slots[2]) + used(slots[3]) + \
  used(ownLeft[0]) + used(ownLeft[1]))

/* Delegations that a grantor may build on, and the slots it counts as used. */
#ifdef GRANT_PAST_PROMISE
#define backing(i) (counted[i] > 0 -> 1 : 0)
#else
#define backing(i) (counted[i] >= LIFE -> 1 : 0)
#endif

active [2] proctype Daemon() {
  byte me = _pid, g;
end:
  do
  :: atomic { /* delegates to, or renews the promise with, a grantor */
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
  byte base = 2 * (_pid - 2), i;
end:
  do
  :: atomic { isSent[base] || isSent[base + 1] ->
       if
       :: isSent[base] -> i = base
       :: isSent[base + 1] -> i = base + 1
       fi;
       isSent[i] = false;
#ifdef COUNT_FROM_RECEIPT
       counted[i] = PROMISE;
#else
       /* counts from the moment it sent the heartbeat that the delegation answers */
       if :: sentLeft[i] > counted[i] -> counted[i] = sentLeft[i] :: else fi;
#endif
       sentLeft[i] = 0; i = 0 }
  :: atomic { used(slots[base]) + used(slots[base + 1]) < backing(base) + backing(base + 1) ->
       if
       :: slots[base] == 0 -> slots[base] = LIFE
       :: else -> slots[base + 1] = LIFE
       fi;
       must(slotsBound, inUse <= 2) }
  od
}

#define lower(x) x = (x > 0 -> x - 1 : 0)

active proctype Clock() {
  byte i;
  do
  :: atomic {
       i = 0;
       do
       :: i < 4 -> lower(sentLeft[i]); lower(counted[i]); lower(slots[i]); i++
       :: else -> break
       od;
       lower(promiseLeft[0]); lower(promiseLeft[1]); lower(ownLeft[0]); lower(ownLeft[1]); i = 0 }
  od
}
