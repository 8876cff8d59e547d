/*
 * Orders to one worker that may start again under its name. A start may be sent twice; each copy may
 * arrive late, also in the next life of the worker, and its answer may be lost. Owners follow each
 * other; the next one knows what was stored and nothing else. The task may also run on a second
 * worker, which is always reached at once. A report is one exchange: it takes the owner's token and
 * lists what runs there and what has ended.
 */
#include "common.pml"

hidden byte onceAtATime, notAfterDone, endsSeen;

#ifndef TAKEOVERS
#define TAKEOVERS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define RUNS 3      /* starts of the task in all */
#define COPIES 2    /* copies of starts that may be under way at once */
#define TOKENS 4    /* lives of the worker that one epoch tells apart */
#define UNKNOWN 9

/* The worker. All but its life is forgotten when it starts again. */
byte life;
byte fence;         /* highest token; 0 before the first call */
byte highest;       /* highest run that was seen */
byte working;        /* run that executes; 0 for none */
byte ended, endNumber; /* run that ended done and is listed, its number */
byte ends = 1;      /* ends of this life; the first one was another task's */
byte activeElsewhere;
bool isShut;        /* a call for this life has arrived */

/* The store: one epoch, and the latest run with its worker. */
byte epoch = 1;
byte latest;
mtype { nowhere, here, elsewhere };
mtype place = nowhere;
bool isDone, isAcked, isSettled;

/* Copies of starts under way. */
byte copyRun[COPIES], copyToken[COPIES], copyLife[COPIES];
byte copies;        /* copies of the present run that were sent */
bool isWindowOpen;  /* the present run may begin in the life that it was sent to */

/* What the owner knows besides. */
byte knownLife = UNKNOWN, livesSeen;
byte cursor = 1;    /* highest end that was taken note of */
bool isListed, isHeld, isConfirmed, isRestored;
bool mayBeLate;     /* a copy of some start got no answer */

#ifdef TOKEN_BY_EPOCH
#define token (epoch * TOKENS)
#else
#define token (epoch * TOKENS + livesSeen)
#endif

inline beginActive(r) {
  /* Nothing shuts late copies out of a life before the owner's first call for that life. */
  must(onceAtATime, working == 0 && activeElsewhere == 0 || !isShut);
  must(notAfterDone, !isAcked || !isShut);
  working = r; highest = r
}

inline sendCopy(i) {
  copyRun[i] = latest; copyToken[i] = token; copyLife[i] = life; copies++
}

/* An earlier run may have been done meanwhile. */
inline giveUp() { place = nowhere; isHeld = false; isDone = isDone || isSettled }

/* A copy arrives; its answer may be lost. */
inline deliver(i) {
  r = copyRun[i]; isRefused = false;
  if
  :: copyToken[i] < fence -> isRefused = true
  :: else ->
     fence = copyToken[i];
     if
     :: working == r -> skip
     :: working != r && r <= highest -> isRefused = true
     :: working != r && r > highest && copyLife[i] == life && !(isWindowOpen && r == latest) ->
        isRefused = true
     :: else -> beginActive(r)
     fi
  fi;
  copyRun[i] = 0;
  if
  :: r == latest && place == here && !isRefused -> isConfirmed = true
#ifdef REFUSAL_DECIDES
  :: r == latest && place == here && isRefused && !isHeld -> giveUp()
#else
  :: r == latest && place == here && isRefused && !isHeld && copies == 1 && !isRestored -> giveUp()
#endif
  :: mayBeLate = true /* the answer is lost */
  fi;
  r = 0; isRefused = false
}

/* The owner learns of a new life; what may be there waits for its next report. */
inline noteRestart() {
  knownLife = life; livesSeen++; cursor = 0;
  if
#ifdef DROP_ON_RESTART
  :: place == here -> giveUp()
#else
  :: place == here && !isListed -> isHeld = true
#ifdef FORGET_OLDER_COPIES
  :: place == here && isListed && copies > 1 -> isHeld = true
  :: place == here && isListed && copies <= 1 -> giveUp()
#else
  :: place == here && isListed && mayBeLate -> isHeld = true
  :: place == here && isListed && !mayBeLate -> giveUp()
#endif
#endif
  :: else
  fi
}

inline takeEnds() {
  if
  :: ended != 0 && ended == latest && place == here ->
     isDone = true; giveUp(); isAcked = true; cursor = endNumber; ended = 0
  :: ended != 0 && !(ended == latest && place == here) ->
#ifndef FORGET_OLDER_ENDS
     if
     :: place == nowhere -> isDone = true
     :: else -> isSettled = true
     fi;
#endif
     must(endsSeen, isDone || isSettled); isAcked = true; cursor = endNumber; ended = 0
  :: else
  fi
}

inline takeRuns() {
  if
  :: working != 0 && working == latest && place == here -> isListed = true; isHeld = false
  :: working != 0 && !(working == latest && place == here) -> working = 0 /* stopped */
  :: working == 0 && place == here && isHeld -> giveUp()
  :: working == 0 && place == here && !isHeld && (isConfirmed || isRestored || !isWindowOpen) ->
     giveUp()
  :: else
  fi
}

/* The cursor is sent only where no restart can lie between the last answer and this call. */
inline report() {
  if
  :: token < fence -> skip
  :: else ->
     fence = token;
#ifdef CURSOR_ALWAYS
     if
     :: ended != 0 && endNumber <= cursor -> must(endsSeen, isDone || isSettled); isAcked = true; ended = 0
     :: else
     fi;
#endif
     if
     :: knownLife == UNKNOWN -> knownLife = life; isShut = true; takeEnds(); takeRuns()
     :: knownLife == life -> isShut = true; takeEnds(); takeRuns()
     :: else -> noteRestart()
     fi
  fi
}

active proctype Owner() {
end:
  do
  :: atomic { place == nowhere && !isDone && latest < RUNS && knownLife == life && isShut &&
       copyRun[0] == 0 ->
       latest++; place = here; copies = 0; isWindowOpen = true;
       isListed = false; isHeld = false; isConfirmed = false; isRestored = false; sendCopy(0) }
  :: atomic { place == here && !isHeld && !isConfirmed && isWindowOpen && !isRestored &&
       copies == 1 && copyRun[1] == 0 -> mayBeLate = true; sendCopy(1) }
  :: atomic { place == nowhere && !isDone && latest < RUNS && knownLife != UNKNOWN ->
       latest++; place = elsewhere; isWindowOpen = false;
       must(onceAtATime, working == 0 || knownLife != life); activeElsewhere = latest }
  :: atomic { place == elsewhere && activeElsewhere != 0 ->
       activeElsewhere = 0; isDone = true; isAcked = true; place = nowhere }
  :: atomic { report() }
  od
}

active proctype Worker() {
  byte restarts = RESTARTS;
end:
  do
  :: atomic { working != 0 -> ended = working; working = 0; ends++; endNumber = ends }
  :: atomic { restarts > 0 -> restarts--; life++; fence = 0; highest = 0; working = 0;
       ended = 0; ends = 0; endNumber = 0; isShut = false }
  od
}

active proctype Network() {
  byte r;
  bool isRefused;
end:
  do
  :: atomic { copyRun[0] != 0 -> deliver(0) }
  :: atomic { copyRun[1] != 0 -> deliver(1) }
  :: atomic { isWindowOpen -> isWindowOpen = false; mayBeLate = mayBeLate || !isConfirmed }
  od
}

/* Takeover: the next owner has a higher epoch and knows only what is stored. */
active proctype Lease() {
  byte takeovers = TAKEOVERS;
end:
  do
  :: atomic { takeovers > 0 -> takeovers--; epoch++; knownLife = UNKNOWN; livesSeen = 0; cursor = 0;
       isListed = false; isHeld = false; isConfirmed = false; isRestored = true;
#ifdef FORGET_AT_TAKEOVER
       mayBeLate = false;
#else
       mayBeLate = true;
#endif
      
       isDone = isDone || isSettled }
  od
}
