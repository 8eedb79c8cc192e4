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

#define LIMIT 2
#define HOLD 4          /* rounds of "live" after which a leaving endpoint opens again */
#define GENERATIONS 3

/* generation g takes the zone out if it is even */
#define OUT(g) ((g) % 2 == 0)

byte published = 1;
byte out_rounds;      /* rounds for which it could be read, or is known, that the zone is out */

byte entry_gen = 1;
byte end_gen = 1;
bool paused;
bool woken;           /* it has not read the platform since it woke */

bool stale;           /* the configuration service shows generation 1 */
bool cut;             /* the entry is cut off from the platform */

bool marked;          /* the VM leaves */
byte marked_rounds;   /* rounds for which that could be read, or is known */
bool old_list;        /* the list shows the VM as live although it leaves */
byte old_rounds;
bool listed = true;   /* the list names the VM */
bool end_leaving;     /* as the endpoint knows it */
byte held;            /* rounds for which the endpoint has read "live" since it read "leaving" */
bool entry_leaving;

/* the endpoint has read the last generation, or that its VM leaves, at least once */
bool out_known;
bool leave_known;

bool told;            /* the endpoint was told to stop */
byte told_rounds;

bool reported_open = true;  /* as the entry knows it from the last heartbeat */
bool asked;                 /* a request is on its way */

/* Presence::admit, Gate::admit */
#ifdef NO_WAKE
#define AWAKE true
#else
#define AWAKE (!woken)
#endif
#define GATE_OPEN (!OUT(end_gen) && !end_leaving && !told)

inline bump(counter) {
  if
  :: counter < LIMIT + 1 -> counter++
  :: else
  fi
}

#define SHOWN (stale -> 1 : published)
#define SHOWS_LEAVING (marked && !old_list)

/* Endpoint::offer, Adopter::offer */
inline endpoint_reads_set() {
#ifdef NO_RANK
  end_gen = SHOWN
#else
  end_gen = (SHOWN > end_gen -> SHOWN : end_gen)
#endif
}

/* Endpoint::list; nothing changes where the list does not name the VM */
inline endpoint_reads_list() {
  if
  :: listed && SHOWS_LEAVING -> end_leaving = true; held = 0
  :: listed && !SHOWS_LEAVING && end_leaving ->
#ifdef NO_HOLD
     end_leaving = false
#else
     held++;
     if
     :: held >= HOLD -> end_leaving = false; held = 0
     :: else
     fi
#endif
#ifdef NO_LISTED
  :: !listed -> end_leaving = false
#endif
  :: else
  fi
}

/* Entry::offer, Entry::list */
inline entry_reads() {
  if
  :: !cut ->
     entry_gen = (SHOWN > entry_gen -> SHOWN : entry_gen);
     if
     :: listed -> entry_leaving = SHOWS_LEAVING
     :: else
     fi
  :: else
  fi
}

/* Counts a round in which a change could be read or has been read, until it is taken back. */
inline count(counter, holds, readable, known) {
  if
  :: (holds) && ((readable) || (known)) -> bump(counter)
  :: else -> counter = 0
  fi
}

/* one round passes */
inline round() {
  if
  :: !paused -> woken = false; endpoint_reads_set(); endpoint_reads_list()
  :: else
  fi;
  entry_reads();
  /* Entry::heard, Entry::silent */
  reported_open = !paused && GATE_OPEN;
  out_known = out_known || end_gen == published;
  leave_known = leave_known || end_leaving;
  count(out_rounds, OUT(published), !stale, out_known);
  count(marked_rounds, marked, !old_list && listed, leave_known);
  count(told_rounds, told, true, true);
  if
  :: old_list -> old_rounds++
  :: else
  fi
}

#define TOO_LATE ((out_rounds > LIMIT || marked_rounds > LIMIT || told_rounds > LIMIT))

/* Endpoint::decide */
inline admit() {
  if
#ifdef NO_GATE
  :: true -> assert(!TOO_LATE)
#else
#ifdef NO_SELF
  :: AWAKE && !OUT(end_gen) && !end_leaving -> assert(!TOO_LATE)
#else
  :: AWAKE && GATE_OPEN -> assert(!TOO_LATE)
#endif
  :: else
#endif
  fi
}

active proctype World() {
end:
  do
  /* operators and the platform */
  :: atomic { published < GENERATIONS -> published++; out_known = false }
  :: atomic { !marked -> marked = true }
  :: atomic { marked_rounds > 0 && listed -> listed = false }
  :: atomic { stale = !stale }
  :: atomic { !old_list && old_rounds == 0 -> old_list = true }
  :: atomic { old_list -> old_list = false }
  :: atomic { cut = !cut }
  /* Endpoint::drain */
  :: atomic { !told && !paused -> told = true }
  :: atomic { !paused -> paused = true }
  :: atomic { paused -> paused = false; woken = true }
  :: atomic { !old_list || old_rounds < HOLD - 1 -> round() }
  /* Router::choose */
  :: atomic { !asked && !OUT(entry_gen) && !entry_leaving && reported_open -> asked = true }
  :: atomic { asked && !paused -> asked = false; admit() }
  /* an entry that knows nothing of the change, or a late copy */
  :: atomic { !paused -> admit() }
  od
}
