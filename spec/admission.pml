/* mutants: STALE_LOOK NO_PERMIT NO_ORPHANS SPENT_FREE LOOK_OVER_HEAD */
/*
 * Admission: one engine and its endpoint process; an ask may arrive at any time, as
 * often as it likes: this covers entries with any credits, and lost and copied asks.
 * Each transition names the function of crates/core that it stands for. The engine
 * turns cold without warning, crashes and loads; looks and heads of answers are
 * delayed, lost and reordered; the endpoint process pauses,
 * crashes and starts anew while its requests still run.
 *
 * Safety: since the engine last turned cold by itself, at most WINDOW requests were
 * handed over above what it bears; none where it turned cold by an order to load.
 */
#define SLOTS 2
#define COLD_LIMIT 1
#define UNPROVEN_WINDOW 1
#define REQUESTS 2
#define NONE 255
/* Bounds of the search. */
#ifndef LOOKS
#define LOOKS 3
#endif
#ifndef PASSES
#define PASSES 4
#endif
#ifndef TURNS
#define TURNS 1
#endif

#define STALE_UNTIL 0
#define LOADING 1
#define AWAIT_VERSION 2
#define CONFIRMED 3

/* The engine. */
byte engine_limit = COLD_LIMIT;
bool has_version = true;
bool running[REQUESTS];
byte excess, allowed_excess;
/* Messages: a look with what it sampled, and the head and the end of each answer. */
byte probe_id[2], probe_limit[2], probe_running[2];
bool probe_version[2];
byte head_limit[REQUESTS];
byte request_end[REQUESTS];
/* The gate. */
byte snapshot_state = STALE_UNTIL, stale_until, last_started, last_observed;
byte snapshot_limit, snapshot_running, estimate = COLD_LIMIT, orphans = NONE;
bool snapshot_version;
bool admitted[REQUESTS], unproven[REQUESTS];
byte admitted_probe[REQUESTS];
byte ended_unproven, ended_probe;
byte cap_probe, limit_cap = NONE;
/* What of the bounds is used up. */
byte resets, interruptions, loads, admissions;

byte i, j, running_count, admitted_count, unproven_count, since_probe, current_limit;

inline compute_load() {
	running_count = 0; admitted_count = 0; unproven_count = ended_unproven; since_probe = 0;
	for (j : 0 .. REQUESTS - 1) {
		running_count = running_count + running[j];
		admitted_count = admitted_count + admitted[j];
		unproven_count = unproven_count + (admitted[j] && unproven[j]);
		since_probe = since_probe + (admitted[j] && admitted_probe[j] >= last_observed)
	}
	current_limit = (snapshot_limit < estimate -> snapshot_limit : estimate);
	/* Gate::running */
	admitted_count = admitted_count + (orphans == NONE -> 0 : orphans);
	admitted_count = (admitted_count > snapshot_running + since_probe
		-> admitted_count : snapshot_running + since_probe);
	j = 0
}

/* Gate::invalidate */
inline invalidate() {
	if
	:: snapshot_state == LOADING -> skip
	:: snapshot_state == AWAIT_VERSION -> stale_until = last_started
	:: else -> snapshot_state = STALE_UNTIL; stale_until = last_started
	fi
}

/* The engine starts anew or turns cold: what runs breaks off at a crash. */
inline reset_engine(aborts) {
	engine_limit = COLD_LIMIT;
	excess = 0;
	for (j : 0 .. REQUESTS - 1) {
		if
		:: aborts && running[j] ->
			running[j] = false;
			if
			:: admitted[j] -> request_end[j] = 2; head_limit[j] = 0
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
	j = 0
}

active proctype System() {
next_step:
	do
	/* Endpoint::tick, Gate::begin_look: the look samples the engine at once. */
	:: atomic { last_started < LOOKS && (probe_id[0] == 0 || probe_id[1] == 0) ->
		i = (probe_id[0] == 0 -> 0 : 1);
		last_started++;
		compute_load();
		probe_id[i] = last_started; probe_limit[i] = engine_limit;
		probe_running[i] = running_count; probe_version[i] = has_version;
		i = 0; running_count = 0; admitted_count = 0; unproven_count = 0; since_probe = 0;
		current_limit = 0 }
	/* A look is lost: the engine did not answer. Gate::observe(None) */
	:: atomic { probe_id[0] != 0 -> 
		if
		:: probe_id[0] > last_observed -> last_observed = probe_id[0]; invalidate()
		:: else -> skip
		fi;
		probe_id[0] = 0; probe_limit[0] = 0; probe_running[0] = 0; probe_version[0] = false }
	/* Gate::observe */
	:: atomic { probe_id[0] != 0 -> i = 0; goto record_probe }
	:: atomic { probe_id[1] != 0 -> i = 1; goto record_probe }
	/* The engine turns cold without warning. */
	:: atomic { resets < TURNS && engine_limit > COLD_LIMIT ->
		resets++; reset_engine(false); allowed_excess = UNPROVEN_WINDOW }
	/* The engine crashes and holds nothing. */
	:: atomic { resets < TURNS && loads < 1 ->
		resets++; reset_engine(true); allowed_excess = UNPROVEN_WINDOW; has_version = false }
	/* Endpoint::confirm, Gate::load_begins */
	:: atomic { loads < 1 && snapshot_state != LOADING && last_observed > 0 &&
			!(snapshot_state == STALE_UNTIL && stale_until >= last_observed) ->
		loads++; snapshot_state = LOADING; estimate = COLD_LIMIT }
	/* The engine takes the order; Endpoint::loaded, Gate::load_ended */
	:: atomic { snapshot_state == LOADING ->
		reset_engine(false); allowed_excess = 0; has_version = true;
		snapshot_state = AWAIT_VERSION; stale_until = last_started }
	/* The engine warms up by what it finishes; Endpoint::finished follows. */
	:: atomic { running[0] -> i = 0; goto complete_request }
	:: atomic { running[1] -> i = 1; goto complete_request }
	/* The head of an answer shows the limit; it may be lost. Gate::head */
	:: atomic { head_limit[0] != 0 -> i = 0; goto record_head }
	:: atomic { head_limit[1] != 0 -> i = 1; goto record_head }
	/* Gate::finish */
	:: atomic { request_end[0] != 0 -> i = 0; goto finish_request }
	:: atomic { request_end[1] != 0 -> i = 1; goto finish_request }
	/* Endpoint::ask, Gate::admit, and the hand-over to the engine. */
	:: atomic { admissions < PASSES && snapshot_state == CONFIRMED && snapshot_version &&
			(!admitted[0] && !running[0] && !request_end[0] ||
			 !admitted[1] && !running[1] && !request_end[1]) ->
		compute_load();
		if
		:: admitted_count < current_limit && (admitted_count < COLD_LIMIT ||
#ifdef NO_PERMIT
				true
#else
				unproven_count < UNPROVEN_WINDOW
#endif
				) ->
			i = (!admitted[0] && !running[0] && !request_end[0] -> 0 : 1);
			admissions++;
			admitted[i] = true; unproven[i] = (admitted_count >= COLD_LIMIT);
			admitted_probe[i] = last_started;
			if
			:: running_count >= engine_limit -> excess++
			:: else -> skip
			fi;
			assert(excess <= allowed_excess);
			running[i] = true; head_limit[i] = engine_limit + 1;
			i = 0
		:: else -> skip
		fi;
		running_count = 0; admitted_count = 0; unproven_count = 0; since_probe = 0; current_limit = 0 }
	/* Endpoint::wake: the process slept. */
	:: atomic { interruptions < 1 && snapshot_state == CONFIRMED -> interruptions++; invalidate() }
	/* The process crashes and starts anew; what it handed over still runs. Endpoint::new */
	:: atomic { interruptions < 1 ->
		interruptions++;
		snapshot_state = STALE_UNTIL; stale_until = last_started; last_observed = last_started;
		snapshot_limit = 0; snapshot_running = 0; estimate = COLD_LIMIT;
		snapshot_version = false; ended_unproven = 0;
		probe_id[0] = 0; probe_id[1] = 0; probe_limit[0] = 0; probe_limit[1] = 0;
		probe_running[0] = 0; probe_running[1] = 0;
		probe_version[0] = false; probe_version[1] = false; ended_probe = 0;
		cap_probe = 0; limit_cap = NONE;
#ifdef NO_ORPHANS
		orphans = 0;
#else
		orphans = NONE;
#endif
		for (j : 0 .. REQUESTS - 1) {
			admitted[j] = false; unproven[j] = false; admitted_probe[j] = 0;
			head_limit[j] = 0; request_end[j] = 0
		}
		j = 0 }
	/* The bounds of the search are used up. */
	:: else -> break
	od;
	goto done;

record_probe:
	atomic {
		if
		:: probe_id[i] > last_observed ->
			last_observed = probe_id[i];
			if
			:: probe_id[i] > cap_probe -> limit_cap = NONE; cap_probe = 0
			:: else -> skip
			fi;
			probe_limit[i] = (limit_cap < probe_limit[i] -> limit_cap : probe_limit[i]);
			/* Another version or a first look: Gate::turn_cold */
			if
			:: probe_version[i] != snapshot_version || orphans == NONE -> estimate = COLD_LIMIT
			:: else -> skip
			fi;
			estimate = (probe_limit[i] < estimate -> probe_limit[i] : estimate);
			estimate = (estimate < COLD_LIMIT -> COLD_LIMIT : estimate);
			orphans = ((orphans == NONE || probe_running[i] < orphans) -> probe_running[i] : orphans);
#ifdef NO_ORPHANS
			orphans = 0;
#endif
			for (j : 0 .. REQUESTS - 1) {
				if
				:: admitted_probe[j] < last_observed -> unproven[j] = false
				:: else -> skip
				fi
			}
			j = 0;
			ended_unproven = (ended_probe < last_observed -> 0 : ended_unproven);
			snapshot_version = probe_version[i];
			snapshot_limit = probe_limit[i];
			snapshot_running = probe_running[i];
#ifdef NO_ORPHANS
			snapshot_running = 0;
#endif
			if
#ifdef STALE_LOOK
			:: snapshot_state == STALE_UNTIL || snapshot_state == AWAIT_VERSION -> snapshot_state = CONFIRMED
#else
			:: snapshot_state == STALE_UNTIL && last_observed > stale_until -> snapshot_state = CONFIRMED
			:: snapshot_state == AWAIT_VERSION && last_observed > stale_until && snapshot_version ->
				snapshot_state = CONFIRMED
#endif
			:: else -> skip
			fi
		:: else -> skip
		fi;
		probe_id[i] = 0; probe_limit[i] = 0; probe_running[i] = 0; probe_version[i] = false;
		i = 0
	}
	goto next_step;
complete_request:
	atomic {
		running[i] = false;
		if
		:: engine_limit < SLOTS -> engine_limit++
		:: true -> skip
		fi;
		if
		:: admitted[i] -> request_end[i] = 1
		:: else -> skip
		fi;
		i = 0
	}
	goto next_step;
record_head:
	atomic {
		if
		:: admitted[i] ->
			unproven[i] = false;
#ifndef LOOK_OVER_HEAD
			limit_cap = ((cap_probe == last_started && limit_cap < head_limit[i] - 1)
				-> limit_cap : head_limit[i] - 1);
			cap_probe = last_started;
#endif
			snapshot_limit = (head_limit[i] - 1 < snapshot_limit -> head_limit[i] - 1 : snapshot_limit);
			estimate = (snapshot_limit < estimate -> snapshot_limit : estimate);
			estimate = (estimate < COLD_LIMIT -> COLD_LIMIT : estimate)
		:: true -> skip /* The engine gives no limit with its heads. */
		fi;
		head_limit[i] = 0; i = 0
	}
	goto next_step;
finish_request:
	atomic {
		admitted[i] = false;
		snapshot_running = ((admitted_probe[i] < last_observed && snapshot_running > 0)
			-> snapshot_running - 1 : snapshot_running);
#ifndef SPENT_FREE
		if
		:: unproven[i] -> ended_unproven++; ended_probe = admitted_probe[i]
		:: else -> skip
		fi;
#endif
		if
		:: request_end[i] == 2 -> invalidate()
		:: else -> estimate = (estimate < SLOTS -> estimate + 1 : estimate)
		fi;
		unproven[i] = false; head_limit[i] = 0; request_end[i] = 0; admitted_probe[i] = 0; i = 0
	}
	goto next_step;
done:
	skip
}
