/* mutants: NO_INCARNATION REFUSE_OTHER RESEND NO_SEEN */

/*
 * Correctness of the reply "not run", and at-most-once execution, for tickets and for calls
 * without a key or ticket.
 *
 * Endpoint 0 issues the ticket. The call without a key is offered to endpoint 0 and, after a
 * refusal, to endpoint 1. Endpoints restart without state. A request that was sent may arrive any
 * number of times and at any time, also at a later incarnation, which models loss, duplication,
 * reordering, late copies and pauses.
 */

#define MAX_RESTARTS 2

byte incarnation[2];

/* The ticket of endpoint 0. */
bool ticket_issued;
byte ticket_incarnation;
byte ticket_state;  /* At the endpoint: 0 unknown, 1 issued, 2 executed. */
byte ticket_runs;

/* A call without a key, offered to endpoint 0 and then to endpoint 1. */
byte call_state;  /* 0 none, 1 awaits endpoint 0, 2 awaits endpoint 1, 3 ended. */
bool request_sent[2];
byte target_incarnation[2];
bool seen[2];     /* The endpoint has decided on a copy of the request: DuplicateFilter. */
byte reply[2];    /* 0 none, 1 refused, 2 outcome unknown. */
byte call_runs;
bool reported_not_run;

#ifdef NO_INCARNATION
#define TICKET_MAY_RUN (ticket_state != 2)
#else
#define TICKET_MAY_RUN (incarnation[0] == ticket_incarnation && ticket_state == 1)
#endif

proctype Ticket() {
end:
  do
  /* CallRegistry::issue */
  :: atomic { !ticket_issued ->
       ticket_issued = true; ticket_incarnation = incarnation[0]; ticket_state = 1 }
  /* CallRegistry::decide, CallRegistry::begin */
  :: atomic { ticket_issued && TICKET_MAY_RUN ->
       ticket_state = 2; ticket_runs++; assert(ticket_runs <= 1) }
  od
}

/* The entry that offers the call, and the endpoints that decide on it. */
proctype Call() {
  byte endpoint;
end:
  do
  /* Entry::on_arrival */
  :: atomic { call_state == 0 ->
       call_state = 1; request_sent[0] = true; target_incarnation[0] = incarnation[0] }
  /* Entry::on_refused offers the call to the next endpoint. */
  :: atomic { call_state == 1 && reply[0] == 1 ->
       call_state = 2; request_sent[1] = true; target_incarnation[1] = incarnation[1] }
#ifdef RESEND
  :: atomic { call_state == 1 && reply[0] != 1 ->
       call_state = 2; request_sent[1] = true; target_incarnation[1] = incarnation[1] }
#endif
  :: atomic { call_state == 2 && reply[1] == 1 ->
       call_state = 3; reported_not_run = true; assert(call_runs == 0) }
  /* Entry::on_failed */
  :: atomic { (call_state == 1 && reply[0] == 2) || (call_state == 2 && reply[1] == 2) ->
       call_state = 3 }
  /* Endpoint::decide_call; each request may arrive any number of times. */
  :: atomic { request_sent[0] -> endpoint = 0; goto decide }
  :: atomic { request_sent[1] -> endpoint = 1;
decide:
       if
       :: incarnation[endpoint] != target_incarnation[endpoint] && reply[endpoint] == 0 ->
#ifdef REFUSE_OTHER
          reply[endpoint] = 1
#else
          reply[endpoint] = 2
#endif
#ifdef NO_SEEN
       :: incarnation[endpoint] == target_incarnation[endpoint] ->
#else
       :: incarnation[endpoint] == target_incarnation[endpoint] && !seen[endpoint] ->
#endif
          seen[endpoint] = true;
          if
          :: call_runs++; assert(call_runs <= 1 && !reported_not_run)
          :: reply[endpoint] = 1
          fi
       :: else
       fi;
       endpoint = 0 }
  od
}

/* Endpoint::new in a new process. */
proctype Restarts() {
end:
  do
  :: atomic { incarnation[0] < MAX_RESTARTS -> incarnation[0]++; seen[0] = false; ticket_state = 0 }
  :: atomic { incarnation[1] < MAX_RESTARTS -> incarnation[1]++; seen[1] = false }
  od
}

init {
  atomic {
    run Restarts();
    run Ticket();
    run Call();
  }
}
