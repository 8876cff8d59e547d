/*
 * Submission of a job. A daemon inserts the job row and answers its caller while the owner of the
 * region already changes the row and runs the job. The insert may lose its reply, or take effect
 * after the daemon gave up on it. The caller may repeat the submission at a second daemon.
 */
#include "common.pml"

hidden byte notRun, noFalseFailure;

mtype { absent, queued, running, ended };
mtype { waiting, accepted, refused, unknown };

bool isUp = true;
byte outages = 1, losses = 2;
mtype row = absent;
byte submitter = 2;     /* operation id of the submission, stored in the row's value */
byte lastWriter = 3;    /* operation id of the row's last write; 2 stands for the owner */
mtype answer[2] = waiting;
bool isLate[2], hasInserted[2];

inline reply(kind) {
  must(noFalseFailure, kind == accepted || kind == unknown || !hasInserted[me]);
  answer[me] = kind
}

inline insert(daemon) {
  row = queued; submitter = daemon; lastWriter = daemon; hasInserted[daemon] = true
}

active [2] proctype Daemon() {
  byte me = _pid;
  if
  :: atomic { isUp && row == absent -> insert(me); reply(accepted); goto end }
  :: atomic { isUp && row == absent && losses > 0 -> losses--; insert(me) }
  :: atomic { isUp && losses > 0 -> losses--; isLate[me] = true }
  :: atomic { isUp && row != absent -> reply(accepted); goto end } /* repeated id */
  :: atomic { !isUp -> reply(refused); goto end }
  fi;
  atomic { isUp ->
    if
#ifdef COMPARE_LAST_WRITER
    :: row != absent && lastWriter == me -> reply(accepted)
    :: row != absent && lastWriter != me -> reply(refused)
#else
    :: row != absent -> reply(accepted)
#endif
#ifdef REFUSE_ON_ABSENT
    :: row == absent -> reply(refused)
#else
    :: row == absent -> reply(unknown)
#endif
    fi };
end:
  skip
}

active proctype Owner() {
end:
  do
  :: atomic { isUp && row == queued ->
       row = running; lastWriter = 2;
       must(notRun, answer[submitter] != refused) }
  :: atomic { isUp && row == running -> row = ended }
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
       :: row == absent -> insert(i)
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

/* Every accepted job ends. */
ltl acceptedEnds { [] ((answer[0] == accepted || answer[1] == accepted) -> <> (row == ended)) }
/* Every submission is answered. */
ltl submissionsAnswered { <> (answer[0] != waiting && answer[1] != waiting) }
