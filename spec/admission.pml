/* mutants: STALE_LOOK NO_PERMIT NO_ORPHANS SPENT_FREE LOOK_OVER_HEAD */
/*
 * Admission of requests by one endpoint process to its engine.
 *
 * Requests arrive at any time and in any number, which covers entries with any credits and lost
 * or duplicated requests. The engine turns cold without warning, crashes and loads versions.
 * Probes and response heads are delayed, lost and reordered. The endpoint process pauses, crashes
 * and restarts while its requests still run. Each transition names the function of crates/core
 * that it models; LOOK in the name of a mutant or bound means a probe of the engine.
 *
 * Safety: since the engine last turned cold by itself, at most UNPROVEN_WINDOW requests were sent
 * to it above its limit, and none since it turned cold because of a load command.
 */
#define SLOTS 2
#define COLD_LIMIT 1
#define UNPROVEN_WINDOW 1
#define REQUESTS 2
#define NONE 255
/* Bounds of the search: probes (LOOKS), admitted requests (PASSES), and times that the engine
 * turns cold or crashes (TURNS). */
#ifndef LOOKS
#define LOOKS 3
#endif
#ifndef PASSES
#define PASSES 4
#endif
#ifndef TURNS
#define TURNS 1
#endif

/* Values of snapshot_state, as SnapshotState in gate.rs. */
#define STALE_UNTIL 0
#define LOADING 1
#define AWAIT_VERSION 2
#define CONFIRMED 3

/* The engine: its current concurrency limit, whether it has loaded the version, and what runs. */
byte engine_limit = COLD_LIMIT;
bool has_version = true;
bool running[REQUESTS];
/* Requests sent above the limit since the engine last turned cold, and their permitted number. */
byte excess, allowed_excess;
/* Messages: the sequence number and result of each probe; the limit in a response head, plus 1;
 * the end of a request, 1 if completed and 2 if aborted. 0 is no message. */
byte probe_id[2], probe_limit[2], probe_running[2];
bool probe_version[2];
byte head_limit[REQUESTS];
byte request_end[REQUESTS];
/* The admission gate. */
byte snapshot_state = STALE_UNTIL, stale_until, last_started, last_observed;
byte snapshot_limit, snapshot_running, estimate = COLD_LIMIT, orphans = NONE;
bool snapshot_version;
bool admitted[REQUESTS], unproven[REQUESTS];
byte admitted_probe[REQUESTS];
byte ended_unproven, ended_probe;
byte cap_probe, limit_cap = NONE;
/* Counters of the bounded events; an interruption is a pause or a restart of the process. */
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
	/* AdmissionGate::running */
	admitted_count = admitted_count + (orphans == NONE -> 0 : orphans);
	admitted_count = (admitted_count > snapshot_running + since_probe
		-> admitted_count : snapshot_running + since_probe);
	j = 0
}

/* AdmissionGate::invalidate */
inline invalidate() {
	if
	:: snapshot_state == LOADING -> skip
	:: snapshot_state == AWAIT_VERSION -> stale_until = last_started
	:: else -> snapshot_state = STALE_UNTIL; stale_until = last_started
	fi
}

/* The engine restarts or turns cold; a crash aborts the running requests. */
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
	/* Endpoint::probe_engine, AdmissionGate::begin_probe: the probe samples the engine at once. */
	:: atomic { last_started < LOOKS && (probe_id[0] == 0 || probe_id[1] == 0) ->
		i = (probe_id[0] == 0 -> 0 : 1);
		last_started++;
		compute_load();
		probe_id[i] = last_started; probe_limit[i] = engine_limit;
		probe_running[i] = running_count; probe_version[i] = has_version;
		i = 0; running_count = 0; admitted_count = 0; unproven_count = 0; since_probe = 0;
		current_limit = 0 }
	/* The engine did not answer a probe: AdmissionGate::record_probe without a snapshot. */
	:: atomic { probe_id[0] != 0 -> 
		if
		:: probe_id[0] > last_observed -> last_observed = probe_id[0]; invalidate()
		:: else -> skip
		fi;
		probe_id[0] = 0; probe_limit[0] = 0; probe_running[0] = 0; probe_version[0] = false }
	/* AdmissionGate::record_probe */
	:: atomic { probe_id[0] != 0 -> i = 0; goto record_probe }
	:: atomic { probe_id[1] != 0 -> i = 1; goto record_probe }
	/* The engine turns cold without warning. */
	:: atomic { resets < TURNS && engine_limit > COLD_LIMIT ->
		resets++; reset_engine(false); allowed_excess = UNPROVEN_WINDOW }
	/* The engine crashes and loses the loaded version. */
	:: atomic { resets < TURNS && loads < 1 ->
		resets++; reset_engine(true); allowed_excess = UNPROVEN_WINDOW; has_version = false }
	/* Endpoint::confirm_load, AdmissionGate::load_started */
	:: atomic { loads < 1 && snapshot_state != LOADING && last_observed > 0 &&
			!(snapshot_state == STALE_UNTIL && stale_until >= last_observed) ->
		loads++; snapshot_state = LOADING; estimate = COLD_LIMIT }
	/* The engine loads the version: Endpoint::on_load_finished, AdmissionGate::load_ended. */
	:: atomic { snapshot_state == LOADING ->
		reset_engine(false); allowed_excess = 0; has_version = true;
		snapshot_state = AWAIT_VERSION; stale_until = last_started }
	/* The engine completes a request and may warm up; Endpoint::finish_request follows. */
	:: atomic { running[0] -> i = 0; goto complete_request }
	:: atomic { running[1] -> i = 1; goto complete_request }
	/* A response head reports the limit and may be lost: AdmissionGate::record_head_limit. */
	:: atomic { head_limit[0] != 0 -> i = 0; goto record_head }
	:: atomic { head_limit[1] != 0 -> i = 1; goto record_head }
	/* AdmissionGate::finish */
	:: atomic { request_end[0] != 0 -> i = 0; goto finish_request }
	:: atomic { request_end[1] != 0 -> i = 1; goto finish_request }
	/* Endpoint::admit, AdmissionGate::admit, and the send to the engine. */
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
	/* The process resumes from a pause: Endpoint::detect_pause. */
	:: atomic { interruptions < 1 && snapshot_state == CONFIRMED -> interruptions++; invalidate() }
	/* The process crashes and restarts while its requests still run at the engine: Endpoint::new. */
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
	/* The bounds of the search are reached. */
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
			/* Another version or the first probe: AdmissionGate::reset_to_cold. */
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
		:: true -> skip /* The engine reports no limit in response heads. */
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
