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
#define COLD 1
#define WINDOW 1
#define N 2
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

#define AFTER 0
#define LOADING 1
#define LOADED 2
#define SHOWN 3

/* The engine. */
byte bears = COLD;
bool holds = true;
bool runs[N];
byte over, allowed;
/* Messages: a look with what it sampled, and the head and the end of each answer. */
byte lookn[2], looklim[2], lookrun[2];
bool lookver[2];
byte head[N];
byte fin[N];
/* The gate. */
byte trust = AFTER, after, begun, taken;
byte limit, shownrun, est = COLD, orphans = NONE;
bool shownver;
bool own[N], unproved[N];
byte plook[N];
byte spent, spentlook;
byte lowlook, lowlim = NONE;
/* What of the bounds is used up. */
byte turns, starts, loads, passes;

byte i, j, nrun, nown, nunp, nsince, lim;

inline count() {
	nrun = 0; nown = 0; nunp = spent; nsince = 0;
	for (j : 0 .. N - 1) {
		nrun = nrun + runs[j];
		nown = nown + own[j];
		nunp = nunp + (own[j] && unproved[j]);
		nsince = nsince + (own[j] && plook[j] >= taken)
	}
	lim = (limit < est -> limit : est);
	/* Gate::running */
	nown = nown + (orphans == NONE -> 0 : orphans);
	nown = (nown > shownrun + nsince -> nown : shownrun + nsince);
	j = 0
}

/* Gate::invalidate */
inline doubt() {
	if
	:: trust == LOADING -> skip
	:: trust == LOADED -> after = begun
	:: else -> trust = AFTER; after = begun
	fi
}

/* The engine starts anew or turns cold: what runs breaks off at a crash. */
inline turn(crash) {
	bears = COLD;
	over = 0;
	for (j : 0 .. N - 1) {
		if
		:: crash && runs[j] ->
			runs[j] = false;
			if
			:: own[j] -> fin[j] = 2; head[j] = 0
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
	j = 0
}

active proctype world() {
again:
	do
	/* Endpoint::tick, Gate::begin_look: the look samples the engine at once. */
	:: atomic { begun < LOOKS && (lookn[0] == 0 || lookn[1] == 0) ->
		i = (lookn[0] == 0 -> 0 : 1);
		begun++;
		count();
		lookn[i] = begun; looklim[i] = bears; lookrun[i] = nrun; lookver[i] = holds;
		i = 0; nrun = 0; nown = 0; nunp = 0; nsince = 0; lim = 0 }
	/* A look is lost: the engine did not answer. Gate::observe(None) */
	:: atomic { lookn[0] != 0 -> 
		if
		:: lookn[0] > taken -> taken = lookn[0]; doubt()
		:: else -> skip
		fi;
		lookn[0] = 0; looklim[0] = 0; lookrun[0] = 0; lookver[0] = false }
	/* Gate::observe */
	:: atomic { lookn[0] != 0 -> i = 0; goto observe }
	:: atomic { lookn[1] != 0 -> i = 1; goto observe }
	/* The engine turns cold without warning. */
	:: atomic { turns < TURNS && bears > COLD -> turns++; turn(false); allowed = WINDOW }
	/* The engine crashes and holds nothing. */
	:: atomic { turns < TURNS && loads < 1 -> turns++; turn(true); allowed = WINDOW; holds = false }
	/* Endpoint::confirm, Gate::load_begins */
	:: atomic { loads < 1 && trust != LOADING && taken > 0 && !(trust == AFTER && after >= taken) ->
		loads++; trust = LOADING; est = COLD }
	/* The engine takes the order; Endpoint::loaded, Gate::load_ended */
	:: atomic { trust == LOADING ->
		turn(false); allowed = 0; holds = true; trust = LOADED; after = begun }
	/* The engine warms up by what it finishes; Endpoint::finished follows. */
	:: atomic { runs[0] -> i = 0; goto finish }
	:: atomic { runs[1] -> i = 1; goto finish }
	/* The head of an answer shows the limit; it may be lost. Gate::head */
	:: atomic { head[0] != 0 -> i = 0; goto gothead }
	:: atomic { head[1] != 0 -> i = 1; goto gothead }
	/* Gate::finish */
	:: atomic { fin[0] != 0 -> i = 0; goto ended }
	:: atomic { fin[1] != 0 -> i = 1; goto ended }
	/* Endpoint::ask, Gate::admit, and the hand-over to the engine. */
	:: atomic { passes < PASSES && trust == SHOWN && shownver &&
			(!own[0] && !runs[0] && !fin[0] || !own[1] && !runs[1] && !fin[1]) ->
		count();
		if
		:: nown < lim && (nown < COLD ||
#ifdef NO_PERMIT
				true
#else
				nunp < WINDOW
#endif
				) ->
			i = (!own[0] && !runs[0] && !fin[0] -> 0 : 1);
			passes++;
			own[i] = true; unproved[i] = (nown >= COLD); plook[i] = begun;
			if
			:: nrun >= bears -> over++
			:: else -> skip
			fi;
			assert(over <= allowed);
			runs[i] = true; head[i] = bears + 1;
			i = 0
		:: else -> skip
		fi;
		nrun = 0; nown = 0; nunp = 0; nsince = 0; lim = 0 }
	/* Endpoint::wake: the process slept. */
	:: atomic { starts < 1 && trust == SHOWN -> starts++; doubt() }
	/* The process crashes and starts anew; what it handed over still runs. Endpoint::new */
	:: atomic { starts < 1 ->
		starts++;
		trust = AFTER; after = begun; taken = begun; limit = 0; shownrun = 0; est = COLD;
		shownver = false; spent = 0;
		lookn[0] = 0; lookn[1] = 0; looklim[0] = 0; looklim[1] = 0;
		lookrun[0] = 0; lookrun[1] = 0; lookver[0] = false; lookver[1] = false; spentlook = 0;
		lowlook = 0; lowlim = NONE;
#ifdef NO_ORPHANS
		orphans = 0;
#else
		orphans = NONE;
#endif
		for (j : 0 .. N - 1) {
			own[j] = false; unproved[j] = false; plook[j] = 0; head[j] = 0; fin[j] = 0
		}
		j = 0 }
	/* The bounds of the search are used up. */
	:: else -> break
	od;
	goto done;

observe:
	atomic {
		if
		:: lookn[i] > taken ->
			taken = lookn[i];
			if
			:: lookn[i] > lowlook -> lowlim = NONE; lowlook = 0
			:: else -> skip
			fi;
			looklim[i] = (lowlim < looklim[i] -> lowlim : looklim[i]);
			/* Another version or a first look: Gate::turn_cold */
			if
			:: lookver[i] != shownver || orphans == NONE -> est = COLD
			:: else -> skip
			fi;
			est = (looklim[i] < est -> looklim[i] : est);
			est = (est < COLD -> COLD : est);
			orphans = ((orphans == NONE || lookrun[i] < orphans) -> lookrun[i] : orphans);
#ifdef NO_ORPHANS
			orphans = 0;
#endif
			for (j : 0 .. N - 1) {
				if
				:: plook[j] < taken -> unproved[j] = false
				:: else -> skip
				fi
			}
			j = 0;
			spent = (spentlook < taken -> 0 : spent);
			shownver = lookver[i];
			limit = looklim[i];
			shownrun = lookrun[i];
#ifdef NO_ORPHANS
			shownrun = 0;
#endif
			if
#ifdef STALE_LOOK
			:: trust == AFTER || trust == LOADED -> trust = SHOWN
#else
			:: trust == AFTER && taken > after -> trust = SHOWN
			:: trust == LOADED && taken > after && shownver -> trust = SHOWN
#endif
			:: else -> skip
			fi
		:: else -> skip
		fi;
		lookn[i] = 0; looklim[i] = 0; lookrun[i] = 0; lookver[i] = false;
		i = 0
	}
	goto again;
finish:
	atomic {
		runs[i] = false;
		if
		:: bears < SLOTS -> bears++
		:: true -> skip
		fi;
		if
		:: own[i] -> fin[i] = 1
		:: else -> skip
		fi;
		i = 0
	}
	goto again;
gothead:
	atomic {
		if
		:: own[i] ->
			unproved[i] = false;
#ifndef LOOK_OVER_HEAD
			lowlim = ((lowlook == begun && lowlim < head[i] - 1) -> lowlim : head[i] - 1);
			lowlook = begun;
#endif
			limit = (head[i] - 1 < limit -> head[i] - 1 : limit);
			est = (limit < est -> limit : est);
			est = (est < COLD -> COLD : est)
		:: true -> skip /* The engine gives no limit with its heads. */
		fi;
		head[i] = 0; i = 0
	}
	goto again;
ended:
	atomic {
		own[i] = false;
		shownrun = ((plook[i] < taken && shownrun > 0) -> shownrun - 1 : shownrun);
#ifndef SPENT_FREE
		if
		:: unproved[i] -> spent++; spentlook = plook[i]
		:: else -> skip
		fi;
#endif
		if
		:: fin[i] == 2 -> doubt()
		:: else -> est = (est < SLOTS -> est + 1 : est)
		fi;
		unproved[i] = false; head[i] = 0; fin[i] = 0; plook[i] = 0; i = 0
	}
	goto again;
done:
	skip
}
