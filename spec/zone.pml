/* mutants: NO_GATE NO_SELF NO_LISTED NO_RANK NO_HOLD NO_WAKE */

/*
 * Removal and return of a zone, and a leaving endpoint: no new requests after a bound.
 *
 * The model has one entry and one endpoint in a zone. Operators take the zone out and bring it back
 * by generations. The platform marks the VM as leaving in a list that may be stale for fewer than
 * REJOIN_ROUNDS rounds and that finally omits the VM. The endpoint is told to stop. The
 * configuration may be stale for any time. Time passes in rounds; at the end of each, every process
 * that is not paused has read the platform. A paused endpoint misses any number of rounds and, when
 * it resumes, first handles the requests that waited for it.
 *
 * Safety: from ROUND_LIMIT rounds after the platform shows that the zone is out or that the VM is
 * leaving, or after the endpoint was told to stop, the endpoint admits no request, whatever any
 * entry knows and whether or not the endpoint was paused meanwhile. The count restarts when the
 * platform shows an old state again before the endpoint could read the new one.
 */

#define ROUND_LIMIT 2
#define REJOIN_ROUNDS 4  /* Rounds listed as live until a leaving endpoint admits again. */
#define MAX_GENERATION 3

/* Even generations take the zone out. */
#define ZONE_OUT(g) ((g) % 2 == 0)

byte published = 1;
byte out_rounds;  /* Rounds in which the endpoint could read, or knew, that the zone is out. */

byte entry_generation = 1;
byte endpoint_generation = 1;
bool paused;
bool resumed;  /* The endpoint has not read the platform since it resumed. */

bool stale_config;       /* The configuration service returns generation 1. */
bool entry_partitioned;  /* The entry cannot reach the platform. */

bool vm_leaving;        /* The platform marks the VM as leaving. */
byte leaving_rounds;    /* Rounds in which it could read, or knew, that its VM is leaving. */
bool stale_list;        /* The list shows the leaving VM as live. */
byte stale_rounds;
bool vm_listed = true;  /* The list contains the VM. */
bool endpoint_leaving;  /* The endpoint knows that its VM is leaving. */
byte live_rounds;       /* Rounds in which the endpoint has read "live" since it read "leaving". */
bool entry_leaving;

/* The endpoint has read the last generation, or that its VM is leaving, at least once. */
bool out_known;
bool leaving_known;

bool stop_requested;  /* The endpoint was told to stop. */
byte stop_rounds;

bool reported_open = true;  /* Whether the endpoint is open, by the last heartbeat at the entry. */
bool request_pending;       /* A request is in transit to the endpoint. */

/* Presence::admit, AdmissionGate::admit */
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

/* Endpoint::offer_config, Adopter::offer */
inline endpoint_reads_config() {
#ifdef NO_RANK
  endpoint_generation = VISIBLE_GENERATION
#else
  endpoint_generation = (VISIBLE_GENERATION > endpoint_generation
    -> VISIBLE_GENERATION : endpoint_generation)
#endif
}

/* Endpoint::update_vms; a list without the VM changes nothing. */
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

/* Entry::offer_config, Entry::update_vms */
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

/* Counts the rounds in which a change could be read or is known; resets when it is reverted. */
inline count_rounds(counter, in_effect, readable, known) {
  if
  :: (in_effect) && ((readable) || (known)) -> increment_bounded(counter)
  :: else -> counter = 0
  fi
}

/* Ends a round. */
inline end_round() {
  if
  :: !paused -> resumed = false; endpoint_reads_config(); endpoint_reads_list()
  :: else
  fi;
  entry_reads_platform();
  /* Entry::on_heartbeat, Entry::on_heartbeat_timeout */
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

/* Endpoint::decide_call */
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
  /* Operators and the platform. */
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
  /* A request of an entry that does not know of the change, or a late copy. */
  :: atomic { !paused -> admit_request() }
  od
}
