/* mutants: NO_GATE NO_SELF NO_LISTED NO_RANK NO_HOLD NO_WAKE */

/*
 * Zone out and back, and a leaving endpoint: no new work after a bound.
 *
 * One entry and one endpoint in a zone. Operators take the zone out and bring it back by
 * generations; the platform marks the VM as leaving in a list that may show an old state for
 * fewer than HOLD rounds and at last no longer names the VM; the endpoint is told to stop. The
 * configuration may be stale for any time. Time passes in rounds: at the end of each, a process
 * that is not paused has read the platform. A paused endpoint misses any number of rounds; when it
 * wakes, the requests that waited for it come first.
 *
 * The bound: from LIMIT rounds after the platform shows that the zone is out or that the VM leaves,
 * or after the endpoint was told to stop, the endpoint admits no request, whatever any entry knows
 * and whether or not it was paused meanwhile; a platform that shows an old state again before the
 * endpoint could read the new one starts the count anew.
 */

#define ROUND_LIMIT 2
#define REJOIN_ROUNDS 4          /* rounds of "live" after which a leaving endpoint opens again */
#define MAX_GENERATION 3

/* generation g takes the zone out if it is even */
#define ZONE_OUT(g) ((g) % 2 == 0)

byte published = 1;
byte out_rounds;      /* rounds for which it could be read, or is known, that the zone is out */

byte entry_generation = 1;
byte endpoint_generation = 1;
bool paused;
bool resumed;           /* it has not read the platform since it woke */

bool stale_config;           /* the configuration service shows generation 1 */
bool entry_partitioned;             /* the entry is cut off from the platform */

bool vm_leaving;          /* the VM leaves */
byte leaving_rounds;   /* rounds for which that could be read, or is known */
bool stale_list;        /* the list shows the VM as live although it leaves */
byte stale_rounds;
bool vm_listed = true;   /* the list names the VM */
bool endpoint_leaving;     /* as the endpoint knows it */
byte live_rounds;            /* rounds for which the endpoint has read "live" since it read "leaving" */
bool entry_leaving;

/* the endpoint has read the last generation, or that its VM leaves, at least once */
bool out_known;
bool leaving_known;

bool stop_requested;            /* the endpoint was told to stop */
byte stop_rounds;

bool reported_open = true;  /* as the entry knows it from the last heartbeat */
bool request_pending;                 /* a request is on its way */

/* Presence::admit, Gate::admit */
#ifdef NO_WAKE
#define PLATFORM_REREAD true
#else
#define PLATFORM_REREAD (!resumed)
#endif
#define GATE_OPEN (!ZONE_OUT(endpoint_generation) && !endpoint_leaving && !stop_requested)

inline increment_bounded(counter) {
  if
  :: counter < ROUND_LIMIT + 1 -> counter++
  :: else
  fi
}

#define VISIBLE_GENERATION (stale_config -> 1 : published)
#define LISTED_LEAVING (vm_leaving && !stale_list)

/* Endpoint::offer, Adopter::offer */
inline endpoint_reads_config() {
#ifdef NO_RANK
  endpoint_generation = VISIBLE_GENERATION
#else
  endpoint_generation = (VISIBLE_GENERATION > endpoint_generation
    -> VISIBLE_GENERATION : endpoint_generation)
#endif
}

/* Endpoint::list; nothing changes where the list does not name the VM */
inline endpoint_reads_list() {
  if
  :: vm_listed && LISTED_LEAVING -> endpoint_leaving = true; live_rounds = 0
  :: vm_listed && !LISTED_LEAVING && endpoint_leaving ->
#ifdef NO_HOLD
     endpoint_leaving = false
#else
     live_rounds++;
     if
     :: live_rounds >= REJOIN_ROUNDS -> endpoint_leaving = false; live_rounds = 0
     :: else
     fi
#endif
#ifdef NO_LISTED
  :: !vm_listed -> endpoint_leaving = false
#endif
  :: else
  fi
}

/* Entry::offer, Entry::list */
inline entry_reads_platform() {
  if
  :: !entry_partitioned ->
     entry_generation = (VISIBLE_GENERATION > entry_generation
       -> VISIBLE_GENERATION : entry_generation);
     if
     :: vm_listed -> entry_leaving = LISTED_LEAVING
     :: else
     fi
  :: else
  fi
}

/* Counts a round in which a change could be read or has been read, until it is taken back. */
inline count_rounds(counter, in_effect, readable, known) {
  if
  :: (in_effect) && ((readable) || (known)) -> increment_bounded(counter)
  :: else -> counter = 0
  fi
}

/* one round passes */
inline end_round() {
  if
  :: !paused -> resumed = false; endpoint_reads_config(); endpoint_reads_list()
  :: else
  fi;
  entry_reads_platform();
  /* Entry::heard, Entry::silent */
  reported_open = !paused && GATE_OPEN;
  out_known = out_known || endpoint_generation == published;
  leaving_known = leaving_known || endpoint_leaving;
  count_rounds(out_rounds, ZONE_OUT(published), !stale_config, out_known);
  count_rounds(leaving_rounds, vm_leaving, !stale_list && vm_listed, leaving_known);
  count_rounds(stop_rounds, stop_requested, true, true);
  if
  :: stale_list -> stale_rounds++
  :: else
  fi
}

#define BOUND_EXCEEDED ((out_rounds > ROUND_LIMIT || leaving_rounds > ROUND_LIMIT \
                         || stop_rounds > ROUND_LIMIT))

/* Endpoint::decide */
inline admit_request() {
  if
#ifdef NO_GATE
  :: true -> assert(!BOUND_EXCEEDED)
#else
#ifdef NO_SELF
  :: PLATFORM_REREAD && !ZONE_OUT(endpoint_generation) && !endpoint_leaving ->
     assert(!BOUND_EXCEEDED)
#else
  :: PLATFORM_REREAD && GATE_OPEN -> assert(!BOUND_EXCEEDED)
#endif
  :: else
#endif
  fi
}

active proctype System() {
end:
  do
  /* operators and the platform */
  :: atomic { published < MAX_GENERATION -> published++; out_known = false }
  :: atomic { !vm_leaving -> vm_leaving = true }
  :: atomic { leaving_rounds > 0 && vm_listed -> vm_listed = false }
  :: atomic { stale_config = !stale_config }
  :: atomic { !stale_list && stale_rounds == 0 -> stale_list = true }
  :: atomic { stale_list -> stale_list = false }
  :: atomic { entry_partitioned = !entry_partitioned }
  /* Endpoint::drain */
  :: atomic { !stop_requested && !paused -> stop_requested = true }
  :: atomic { !paused -> paused = true }
  :: atomic { paused -> paused = false; resumed = true }
  :: atomic { !stale_list || stale_rounds < REJOIN_ROUNDS - 1 -> end_round() }
  /* Router::choose */
  :: atomic { !request_pending && !ZONE_OUT(entry_generation) && !entry_leaving && reported_open ->
       request_pending = true }
  :: atomic { request_pending && !paused -> request_pending = false; admit_request() }
  /* an entry that knows nothing of the change, or a late copy */
  :: atomic { !paused -> admit_request() }
  od
}
