/* mutants: NO_QUARANTINE NO_CONFIRM NO_NEWEST NO_ABOVE NO_RECORDS */

/*
 * At-most-once execution of a call with a key that its caller chose.
 *
 * Two endpoints share the keys. The owner of the key is endpoint 0 under generations 1 and 3, and
 * endpoint 1 under generation 2. The platform returns any generation up to the last published one,
 * so its answer may be stale. Endpoints restart without state. Once the caller has used the key,
 * a request may reach either endpoint at any time and any number of times until the lifetime of
 * the key ends, which models repeats through any entry, loss, duplication, reordering, late copies
 * and pauses. A stream between the endpoints ends when either process ends.
 */

#define MAX_GENERATION 3
#define MAX_RESTARTS 1
#define OWNER(g) ((g) == 2)

/* Values of previous_owner: the other endpoint has not confirmed the generation, or it has and
 * the key was, or was not, in use before it adopted its first set. */
#define UNCONFIRMED 1
#define CONFIRMED_USED 2
#define CONFIRMED_UNUSED 3

#define UNUSED 0
#define REPEATABLE 1
#define EXPIRED 2

byte published = 1;
byte key_state = UNUSED;
byte run_count;

byte incarnation[2];
byte generation[2];
byte highest_generation[2];
byte changed_generation[2];
bool records_lost[2];     /* An earlier incarnation may have run the key. */
bool used_before[2];      /* The key was in use before the process adopted its first set. */
bool owned_elsewhere[2];  /* An earlier set assigned the key to the other endpoint. */
bool has_record[2];       /* The endpoint has a record of a run of the key. */
byte previous_owner[2];   /* The state of the other endpoint as a previous owner. */

/* The request of each endpoint for a handover, and the handover to it with what it reports. */
bool request_pending[2];
byte requested_generation[2];
bool handover_sent[2];
byte handover_generation[2];
byte handover_requested[2];
bool handover_used[2];
bool handover_record[2];

#ifdef NO_QUARANTINE
#define QUARANTINE_OVER(x) true
#else
#define QUARANTINE_OVER(x) (!used_before[x] || key_state == EXPIRED)
#endif

#ifdef NO_CONFIRM
#define PREVIOUS_OWNER_EXPIRED(x) true
#else
#define PREVIOUS_OWNER_EXPIRED(x) (previous_owner[x] == CONFIRMED_UNUSED || \
                                   (previous_owner[x] == CONFIRMED_USED && key_state == EXPIRED))
#endif

#ifdef NO_NEWEST
#define FOLLOWS_HIGHEST(x) true
#else
#define FOLLOWS_HIGHEST(x) (highest_generation[x] <= generation[x])
#endif

/* KeyOwnership::try_settle */
#define SETTLED(x) (PREVIOUS_OWNER_EXPIRED(x) && (!records_lost[x] || QUARANTINE_OVER(x)))
/* KeyOwnership::may_run */
#define MAY_RUN(x) (generation[x] > 0 && OWNER(generation[x]) == x && FOLLOWS_HIGHEST(x) \
                    && ((!records_lost[x] && !owned_elsewhere[x]) || SETTLED(x)))

/* KeyOwnership::record_generation */
inline record_generation(x, g) {
  if
  :: highest_generation[x] < g -> highest_generation[x] = g
  :: else
  fi
}

/* KeyOwnership::adopt */
inline adopt(x, g) {
  if
  :: generation[x] == 0 ->
     used_before[x] = (key_state != UNUSED);
     records_lost[x] = true;
     changed_generation[x] = g;
     previous_owner[x] = UNCONFIRMED
  :: generation[x] > 0 && OWNER(generation[x]) != OWNER(g) ->
     owned_elsewhere[x] = owned_elsewhere[x] || (OWNER(generation[x]) != x);
     changed_generation[x] = g;
     previous_owner[x] = UNCONFIRMED
  :: else
  fi;
  generation[x] = g;
  record_generation(x, g)
}

/* CallRegistry::handover_for, at endpoint `from` for endpoint `to`. */
inline send_handover(to, from) {
  request_pending[to] = false;
  record_generation(from, requested_generation[to]);
  handover_sent[to] = true;
  handover_generation[to] = generation[from];
  handover_requested[to] = requested_generation[to];
  handover_used[to] = used_before[from];
  handover_record[to] = has_record[from] && OWNER(requested_generation[to]) == to;
#ifdef NO_RECORDS
  handover_record[to] = handover_record[to] && generation[from] >= requested_generation[to];
#endif
  requested_generation[to] = 0
}

/* KeyOwnership::accept_handover */
#ifdef NO_ABOVE
#define HANDOVER_CURRENT(x) (handover_generation[x] >= changed_generation[x] \
                             && handover_requested[x] >= changed_generation[x])
#else
#define HANDOVER_CURRENT(x) (handover_generation[x] >= changed_generation[x] \
                             && handover_generation[x] <= handover_requested[x])
#endif

/* CallRegistry::import_handover; a handover may arrive more than once. */
inline import_handover(x) {
  record_generation(x, handover_generation[x]);
  if
  :: HANDOVER_CURRENT(x) ->
     has_record[x] = has_record[x] || handover_record[x];
     if
     :: previous_owner[x] == UNCONFIRMED && handover_used[x] ->
        previous_owner[x] = CONFIRMED_USED
     :: previous_owner[x] == UNCONFIRMED && !handover_used[x] ->
        previous_owner[x] = CONFIRMED_UNUSED
     :: else
     fi
  :: else
  fi
}

/* CallRegistry::new in a new process. */
inline restart(x) {
  incarnation[x]++;
  generation[x] = 0; highest_generation[x] = 0; changed_generation[x] = 0;
  records_lost[x] = false; used_before[x] = false;
  owned_elsewhere[x] = false; has_record[x] = false;
  previous_owner[x] = 0;
  request_pending[0] = false; request_pending[1] = false;
  requested_generation[0] = 0; requested_generation[1] = 0;
  handover_sent[x] = false; handover_generation[x] = 0; handover_requested[x] = 0;
  handover_used[x] = false; handover_record[x] = false
}

proctype Endpoint(byte x) {
end:
  do
  :: atomic { published >= 1 && generation[x] < 1 -> adopt(x, 1) }
  :: atomic { published >= 2 && generation[x] < 2 -> adopt(x, 2) }
  :: atomic { published >= 3 && generation[x] < 3 -> adopt(x, 3) }
  /* Endpoint::request_handovers */
  :: atomic { generation[x] > 0 && previous_owner[x] == UNCONFIRMED && !request_pending[x] ->
       request_pending[x] = true; requested_generation[x] = generation[x] }
  :: atomic { request_pending[1 - x] -> send_handover((1 - x), x) }
  :: atomic { handover_sent[x] && generation[x] > 0 -> import_handover(x) }
  :: atomic { handover_sent[x] ->
       handover_sent[x] = false;
       handover_generation[x] = 0; handover_requested[x] = 0;
       handover_used[x] = false; handover_record[x] = false }
  /* Endpoint::decide_call, CallRegistry::decide, CallRegistry::begin */
  :: atomic { key_state == REPEATABLE && !has_record[x] && MAY_RUN(x) ->
       has_record[x] = true; run_count++; assert(run_count <= 1) }
  :: atomic { incarnation[x] < MAX_RESTARTS -> restart(x) }
  od
}

/* Operators publish generations; the caller uses the key, and the lifetime of the key ends. */
proctype Environment() {
end:
  do
  :: atomic { published < MAX_GENERATION -> published++ }
  :: atomic { key_state == UNUSED -> key_state = REPEATABLE }
  :: atomic { key_state == REPEATABLE -> key_state = EXPIRED }
  od
}

init {
  atomic {
    run Endpoint(0);
    run Endpoint(1);
    run Environment();
  }
}
