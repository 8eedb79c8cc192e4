/* mutants: TAKE_SHOWN NO_ASK GENERATION_ONLY */

/*
 * Adoption of published configuration sets.
 *
 * Sets are numbered in the order of (generation, digest of the head). Sets 2 and 3 carry the same
 * generation, which is an error of the publisher. Process 2 of the three can be partitioned from
 * the others. A set that any process has announced may reach another at any time, any number of
 * times, or never, which models loss, duplication, reordering and pauses. The platform returns any
 * published set, so its answer may be stale or rolled back. Processes crash and restart without
 * state.
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

/* Adopter::is_newer */
#ifdef GENERATION_ONLY
#define IS_NEWER(set, held) (GENERATION(set) > GENERATION(held))
#else
#define IS_NEWER(set, held) ((set) > (held))
#endif

byte published = 1;
byte visible = 1;
byte crashes, rollbacks, partitions;
bool partitioned;

/* Temporaries of one atomic step; each step resets them to 0 so that they add no states. */
byte process_a, process_b, peer, set, other;
#define CLEAR_TEMPS process_a = 0; process_b = 0; peer = 0; set = 0; other = 0

byte state[PROCESS_COUNT];
byte held[PROCESS_COUNT];
byte best_offer[PROCESS_COUNT];  /* The newest set reported to the starting process. */
bool answered[PROCESS_COUNT * PROCESS_COUNT];
byte announced;                  /* Bit mask of the sets that any process has announced. */

/* The oldest set that a starting process may adopt: held at its start by a peer that it could
 * reach ever since. */
byte min_held[PROCESS_COUNT * PROCESS_COUNT];

inline adopt(process, set) {
  /* ConfigNode::adopt, Adopter::offer */
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
  /* ConfigNode::receive_gossip while asking: a seed answers with its set in force. */
  :: atomic { state[process] == ASKING ->
       select(peer : 0 .. PROCESS_COUNT - 1);
       if
       :: !answered[PAIR_INDEX(process, peer)] && REACHABLE(process, peer) ->
            answered[PAIR_INDEX(process, peer)] = true;
            if :: held[peer] > best_offer[process] -> best_offer[process] = held[peer] :: else fi
       :: else
       fi; CLEAR_TEMPS }
  /* ConfigNode::peer_unresponsive: a partitioned seed does not answer in time. */
  :: atomic { state[process] == ASKING && partitioned ->
       for (other : 0 .. PROCESS_COUNT - 1) {
         if :: !REACHABLE(process, other) -> answered[PAIR_INDEX(process, other)] = true :: else fi
       }
       CLEAR_TEMPS }
  /* ConfigNode::try_end_asking */
  :: atomic { state[process] == ASKING &&
#ifdef NO_ASK
       true
#else
       answered[PAIR_INDEX(process, 0)] && answered[PAIR_INDEX(process, 1)] &&
       answered[PAIR_INDEX(process, 2)]
#endif
       -> state[process] = UNCONFIGURED }
  /* ConfigNode::start_fetch: the newest offer of a peer precedes the platform. */
  :: atomic { state[process] == UNCONFIGURED && best_offer[process] > 0 ->
       set = best_offer[process]; adopt(process, set); CLEAR_TEMPS }
  /* ConfigNode::receive_platform_head, offer_platform_head and offer, without offers of peers. */
  :: atomic { state[process] == UNCONFIGURED && best_offer[process] == 0 ->
       set = visible; adopt(process, set); CLEAR_TEMPS }
  /* ConfigNode::receive_platform_head, offer_platform_head and offer in a reader. */
#ifdef TAKE_SHOWN
  :: atomic { state[process] == CONFIGURED && visible != held[process] ->
       set = visible; adopt(process, set); CLEAR_TEMPS }
#else
  :: atomic { state[process] == CONFIGURED && IS_NEWER(visible, held[process]) ->
       set = visible; adopt(process, set); CLEAR_TEMPS }
#endif
  /* ConfigNode::receive_gossip, offer, receive_head and receive_part: an announcement arrives, at
   * once or late. */
  :: atomic { state[process] == CONFIGURED ->
       select(set : 1 .. SET_COUNT);
       if
       :: (announced & (1 << set)) && IS_NEWER(set, held[process]) -> adopt(process, set)
       :: else
       fi; CLEAR_TEMPS }
  od
}

/* A bounded number of faults, and their recovery. */
proctype Faults() {
end:
  do
  /* An operator publishes the next set, which may have the same generation. */
  :: atomic { published < SET_COUNT -> published++; visible = published }
  /* The platform is stale or rolled back. */
  :: atomic { rollbacks < MAX_ROLLBACKS && visible > 1 -> rollbacks++; visible-- }
  :: atomic { visible < published -> visible = published }
  /* A VM is lost and replaced: ConfigNode::new. */
  :: atomic { crashes < MAX_CRASHES ->
       crashes++;
       select(process_a : 0 .. PROCESS_COUNT - 1);
       restart(process_a); CLEAR_TEMPS }
  /* A partition begins and ends. */
  :: atomic { partitions < MAX_PARTITIONS && !partitioned ->
       partitions++; partitioned = true;
       for (other : 0 .. PROCESS_COUNT - 1) {
         min_held[PAIR_INDEX(2, other)] = 0; min_held[PAIR_INDEX(other, 2)] = 0
       }
       CLEAR_TEMPS }
  :: atomic { partitioned -> partitioned = false }
  od
}

/* Of two processes with different sets, one adopts the other's when they exchange gossip. */
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
