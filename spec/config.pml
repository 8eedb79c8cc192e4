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

#define SETS 3
#define N 3
#define CRASHES 1
#define ROLLBACKS 1
#define CUTS 1

#define ASKING 0
#define UNCONFIGURED 1
#define CONFIGURED 2

#define GENERATION(id) ((id) - ((id) > 2))
#define AT(i, j) ((i) * N + (j))
#define REACHES(i, j) (!cut || ((i) == 2) == ((j) == 2))

/* Adopter::rises */
#ifdef GENERATION_ONLY
#define RISES(id, held) (GENERATION(id) > GENERATION(held))
#else
#define RISES(id, held) ((id) > (held))
#endif

byte published = 1;
byte shown = 1;
byte crashes, rollbacks, cuts;
bool cut;

/* Temporaries of one atomic step; each step leaves them 0. */
byte i1, i2, j, id, k;
#define DONE i1 = 0; i2 = 0; j = 0; id = 0; k = 0

byte state[N];
byte held[N];
byte offer[N];        /* the best answer that a process that starts has had */
bool answered[N * N];
byte told;            /* the sets that were ever told, one bit each */

/* What a process that starts must not fall below: held by a peer that it reached all the time. */
byte floor[N * N];

inline adopt(i, id) {
  /* Node::adopt, Adopter::offer */
  if
  :: held[i] == 0 ->
       for (k : 0 .. N - 1) { assert(id >= floor[AT(i, k)]) }
  :: else -> assert(id >= held[i])
  fi;
  held[i] = id;
  state[i] = CONFIGURED;
  told = told | (1 << id)
}

inline forget(i) {
  held[i] = 0; state[i] = ASKING; offer[i] = 0;
  for (k : 0 .. N - 1) {
    answered[AT(i, k)] = (k == i);
    floor[AT(k, i)] = 0;
    floor[AT(i, k)] = (REACHES(i, k) && k != i -> held[k] : 0)
  }
}

proctype Process(byte i) {
end:
  do
  /* Node::heard while it asks: a seed answers with what it holds now */
  :: atomic { state[i] == ASKING ->
       select(j : 0 .. N - 1);
       if
       :: !answered[AT(i, j)] && REACHES(i, j) ->
            answered[AT(i, j)] = true;
            if :: held[j] > offer[i] -> offer[i] = held[j] :: else fi
       :: else
       fi; DONE }
  /* Node::silent: a seed that is cut off does not answer in time */
  :: atomic { state[i] == ASKING && cut ->
       for (k : 0 .. N - 1) {
         if :: !REACHES(i, k) -> answered[AT(i, k)] = true :: else fi
       }
       DONE }
  /* Node::end_asking */
  :: atomic { state[i] == ASKING &&
#ifdef NO_ASK
       true
#else
       answered[AT(i, 0)] && answered[AT(i, 1)] && answered[AT(i, 2)]
#endif
       -> state[i] = UNCONFIGURED }
  /* Node::start_fetch: the best offer of a peer goes first */
  :: atomic { state[i] == UNCONFIGURED && offer[i] > 0 -> id = offer[i]; adopt(i, id); DONE }
  /* Node::read_head of a process that is alone, Node::show, Node::offer */
  :: atomic { state[i] == UNCONFIGURED && offer[i] == 0 -> id = shown; adopt(i, id); DONE }
  /* Node::read_head of a reader, Node::show, Node::offer */
#ifdef TAKE_SHOWN
  :: atomic { state[i] == CONFIGURED && shown != held[i] -> id = shown; adopt(i, id); DONE }
#else
  :: atomic { state[i] == CONFIGURED && RISES(shown, held[i]) -> id = shown; adopt(i, id); DONE }
#endif
  /* Node::heard, Node::offer, Node::peer_head, Node::part: a peer tells, at once or late */
  :: atomic { state[i] == CONFIGURED ->
       select(id : 1 .. SETS);
       if
       :: (told & (1 << id)) && RISES(id, held[i]) -> adopt(i, id)
       :: else
       fi; DONE }
  od
}

/* What goes wrong, a bounded number of times, and is mended. */
proctype Faults() {
end:
  do
  /* an operator publishes the next set, or another one under the same generation */
  :: atomic { published < SETS -> published++; shown = published }
  /* the platform is stale or rolled back */
  :: atomic { rollbacks < ROLLBACKS && shown > 1 -> rollbacks++; shown-- }
  :: atomic { shown < published -> shown = published }
  /* a VM is lost and replaced: Node::new */
  :: atomic { crashes < CRASHES ->
       crashes++;
       select(i1 : 0 .. N - 1);
       forget(i1); DONE }
  /* a partition begins and ends */
  :: atomic { cuts < CUTS && !cut ->
       cuts++; cut = true;
       for (k : 0 .. N - 1) { floor[AT(2, k)] = 0; floor[AT(k, 2)] = 0 }
       DONE }
  :: atomic { cut -> cut = false }
  od
}

/* Of two processes that hold different sets, one takes the other's when they exchange gossip. */
proctype Exchange() {
end:
  do
  :: d_step {
       for (i1 : 0 .. N - 1) {
         for (i2 : 0 .. N - 1) {
           assert(held[i1] == held[i2] || held[i1] == 0 || held[i2] == 0 ||
                  RISES(held[i1], held[i2]) || RISES(held[i2], held[i1]))
         }
       }
       DONE }
  od
}

init {
  atomic {
    for (k : 0 .. N - 1) { answered[AT(k, k)] = true }
    DONE;
    run Process(0); run Process(1); run Process(2);
    run Faults(); run Exchange()
  }
}
