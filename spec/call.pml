/* mutants: NO_INCARNATION REFUSE_OTHER RESEND NO_SEEN */

/*
 * "Not run" and at most once for a ticket and for a call without key or ticket.
 *
 * Endpoint 0 issues the ticket; the call is offered to endpoint 0 and, after a refusal, to
 * endpoint 1. Endpoints restart with nothing. An ask that was sent may come any number of times
 * and at any time, also to a later incarnation: that stands for loss, duplication, reorder, late
 * copies and pauses.
 */

#define RESTARTS 2

byte incarnation[2];

/* the ticket of endpoint 0 */
bool issued;
byte ticket_incarnation;
byte ticket_memory;  /* 0 unknown, 1 issued, 2 ran */
byte ticket_runs;

/* a call without a key, offered to endpoint 0 and then to endpoint 1 */
byte offer;          /* 0 none, 1 waits for endpoint 0, 2 waits for endpoint 1, 3 ended */
bool sent[2];
byte meant[2];
bool seen[2];
byte reply[2];       /* 0 none, 1 refused, 2 unknown */
byte call_runs;
bool told_not_run;

#ifdef NO_INCARNATION
#define TICKET_RUNS (ticket_memory != 2)
#else
#define TICKET_RUNS (incarnation[0] == ticket_incarnation && ticket_memory == 1)
#endif

proctype Tickets() {
end:
  do
  /* Once::issue */
  :: atomic { !issued ->
       issued = true; ticket_incarnation = incarnation[0]; ticket_memory = 1 }
  /* Once::decide, Once::begin */
  :: atomic { issued && TICKET_RUNS ->
       ticket_memory = 2; ticket_runs++; assert(ticket_runs <= 1) }
  od
}

/* A call without a key at an entry, and the endpoints that it is offered to. */
proctype Call() {
  byte x;
end:
  do
  /* Entry::arrive */
  :: atomic { offer == 0 -> offer = 1; sent[0] = true; meant[0] = incarnation[0] }
  /* Entry::refused: offered to the next endpoint */
  :: atomic { offer == 1 && reply[0] == 1 ->
       offer = 2; sent[1] = true; meant[1] = incarnation[1] }
#ifdef RESEND
  :: atomic { offer == 1 && reply[0] != 1 ->
       offer = 2; sent[1] = true; meant[1] = incarnation[1] }
#endif
  :: atomic { offer == 2 && reply[1] == 1 ->
       offer = 3; told_not_run = true; assert(call_runs == 0) }
  /* Entry::failed */
  :: atomic { (offer == 1 && reply[0] == 2) || (offer == 2 && reply[1] == 2) -> offer = 3 }
  /* Endpoint::decide; each ask may come any number of times */
  :: atomic { sent[0] -> x = 0; goto decide }
  :: atomic { sent[1] -> x = 1;
decide:
       if
       :: incarnation[x] != meant[x] && reply[x] == 0 ->
#ifdef REFUSE_OTHER
          reply[x] = 1
#else
          reply[x] = 2
#endif
#ifdef NO_SEEN
       :: incarnation[x] == meant[x] ->
#else
       :: incarnation[x] == meant[x] && !seen[x] ->
#endif
          seen[x] = true;
          if
          :: call_runs++; assert(call_runs <= 1 && !told_not_run)
          :: reply[x] = 1
          fi
       :: else
       fi;
       x = 0 }
  od
}

/* Endpoint::new in a new process */
proctype World() {
end:
  do
  :: atomic { incarnation[0] < RESTARTS -> incarnation[0]++; seen[0] = false; ticket_memory = 0 }
  :: atomic { incarnation[1] < RESTARTS -> incarnation[1]++; seen[1] = false }
  od
}

init {
  atomic {
    run World();
    run Tickets();
    run Call();
  }
}
