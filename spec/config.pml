/* mutants: TAKE_SHOWN NO_ASK GENERATION_ONLY */

/*
 * Adoption of published sets.
 *
 * A set is a number in the order of (generation, digest of the head): sets 2 and 3 carry one
 * generation, which is a fault of who publishes. Three processes; process 2 can be cut off from the
 * others. What a process ever told may arrive at another at any time, any number of times, late,
 * or never: that stands for loss, duplication, reorder and pauses. The platform shows any
 * published set, so it may be stale or rolled back. Processes crash and start with nothing.
 */

#define SET_COUNT 3
#define PROCESS_COUNT 3
#define MAX_CRASHES 1
#define MAX_ROLLBACKS 1
#define MAX_PARTITIONS 1

#define ASKING 0
#define UNCONFIGURED 1
#define CONFIGURED 2

#define GENERATION(set) ((set) - ((set) > 2))
#define PAIR_INDEX(process, peer) ((process) * PROCESS_COUNT + (peer))
#define REACHABLE(process, peer) (!partitioned || ((process) == 2) == ((peer) == 2))

/* Adopter::rises */
#ifdef GENERATION_ONLY
#define IS_NEWER(set, held) (GENERATION(set) > GENERATION(held))
#else
#define IS_NEWER(set, held) ((set) > (held))
#endif

byte published = 1;
byte visible = 1;
byte crashes, rollbacks, partitions;
bool partitioned;

/* Temporaries of one atomic step; each step leaves them 0. */
byte process_a, process_b, peer, set, other;
#define CLEAR_TEMPS process_a = 0; process_b = 0; peer = 0; set = 0; other = 0

byte state[PROCESS_COUNT];
byte held[PROCESS_COUNT];
byte best_offer[PROCESS_COUNT];        /* the best answer that a process that starts has had */
bool answered[PROCESS_COUNT * PROCESS_COUNT];
byte announced;            /* the sets that were ever told, one bit each */

/* What a process that starts must not fall below: held by a peer that it reached all the time. */
byte min_held[PROCESS_COUNT * PROCESS_COUNT];

inline adopt(process, set) {
  /* Node::adopt, Adopter::offer */
  if
  :: held[process] == 0 ->
       for (other : 0 .. PROCESS_COUNT - 1) { assert(set >= min_held[PAIR_INDEX(process, other)]) }
  :: else -> assert(set >= held[process])
  fi;
  held[process] = set;
  state[process] = CONFIGURED;
  announced = announced | (1 << set)
}

inline restart(process) {
  held[process] = 0; state[process] = ASKING; best_offer[process] = 0;
  for (other : 0 .. PROCESS_COUNT - 1) {
    answered[PAIR_INDEX(process, other)] = (other == process);
    min_held[PAIR_INDEX(other, process)] = 0;
    min_held[PAIR_INDEX(process, other)] =
      (REACHABLE(process, other) && other != process -> held[other] : 0)
  }
}

proctype Process(byte process) {
end:
  do
  /* Node::heard while it asks: a seed answers with what it holds now */
  :: atomic { state[process] == ASKING ->
       select(peer : 0 .. PROCESS_COUNT - 1);
       if
       :: !answered[PAIR_INDEX(process, peer)] && REACHABLE(process, peer) ->
            answered[PAIR_INDEX(process, peer)] = true;
            if :: held[peer] > best_offer[process] -> best_offer[process] = held[peer] :: else fi
       :: else
       fi; CLEAR_TEMPS }
  /* Node::silent: a seed that is cut off does not answer in time */
  :: atomic { state[process] == ASKING && partitioned ->
       for (other : 0 .. PROCESS_COUNT - 1) {
         if :: !REACHABLE(process, other) -> answered[PAIR_INDEX(process, other)] = true :: else fi
       }
       CLEAR_TEMPS }
  /* Node::end_asking */
  :: atomic { state[process] == ASKING &&
#ifdef NO_ASK
       true
#else
       answered[PAIR_INDEX(process, 0)] && answered[PAIR_INDEX(process, 1)] &&
       answered[PAIR_INDEX(process, 2)]
#endif
       -> state[process] = UNCONFIGURED }
  /* Node::start_fetch: the best offer of a peer goes first */
  :: atomic { state[process] == UNCONFIGURED && best_offer[process] > 0 ->
       set = best_offer[process]; adopt(process, set); CLEAR_TEMPS }
  /* Node::read_head of a process that is alone, Node::show, Node::offer */
  :: atomic { state[process] == UNCONFIGURED && best_offer[process] == 0 ->
       set = visible; adopt(process, set); CLEAR_TEMPS }
  /* Node::read_head of a reader, Node::show, Node::offer */
#ifdef TAKE_SHOWN
  :: atomic { state[process] == CONFIGURED && visible != held[process] ->
       set = visible; adopt(process, set); CLEAR_TEMPS }
#else
  :: atomic { state[process] == CONFIGURED && IS_NEWER(visible, held[process]) ->
       set = visible; adopt(process, set); CLEAR_TEMPS }
#endif
  /* Node::heard, Node::offer, Node::peer_head, Node::part: a peer tells, at once or late */
  :: atomic { state[process] == CONFIGURED ->
       select(set : 1 .. SET_COUNT);
       if
       :: (announced & (1 << set)) && IS_NEWER(set, held[process]) -> adopt(process, set)
       :: else
       fi; CLEAR_TEMPS }
  od
}

/* What goes wrong, a bounded number of times, and is mended. */
proctype Faults() {
end:
  do
  /* an operator publishes the next set, or another one under the same generation */
  :: atomic { published < SET_COUNT -> published++; visible = published }
  /* the platform is stale or rolled back */
  :: atomic { rollbacks < MAX_ROLLBACKS && visible > 1 -> rollbacks++; visible-- }
  :: atomic { visible < published -> visible = published }
  /* a VM is lost and replaced: Node::new */
  :: atomic { crashes < MAX_CRASHES ->
       crashes++;
       select(process_a : 0 .. PROCESS_COUNT - 1);
       restart(process_a); CLEAR_TEMPS }
  /* a partition begins and ends */
  :: atomic { partitions < MAX_PARTITIONS && !partitioned ->
       partitions++; partitioned = true;
       for (other : 0 .. PROCESS_COUNT - 1) {
         min_held[PAIR_INDEX(2, other)] = 0; min_held[PAIR_INDEX(other, 2)] = 0
       }
       CLEAR_TEMPS }
  :: atomic { partitioned -> partitioned = false }
  od
}

/* Of two processes that hold different sets, one takes the other's when they exchange gossip. */
proctype OrderInvariant() {
end:
  do
  :: d_step {
       for (process_a : 0 .. PROCESS_COUNT - 1) {
         for (process_b : 0 .. PROCESS_COUNT - 1) {
           assert(held[process_a] == held[process_b] ||
                  held[process_a] == 0 || held[process_b] == 0 ||
                  IS_NEWER(held[process_a], held[process_b]) ||
                  IS_NEWER(held[process_b], held[process_a]))
         }
       }
       CLEAR_TEMPS }
  od
}

init {
  atomic {
    for (other : 0 .. PROCESS_COUNT - 1) { answered[PAIR_INDEX(other, other)] = true }
    CLEAR_TEMPS;
    run Process(0); run Process(1); run Process(2);
    run Faults(); run OrderInvariant()
  }
}
