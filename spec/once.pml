/* mutants: NO_QUARANTINE NO_CONFIRM NO_NEWEST NO_ABOVE NO_RECORDS */

/*
 * At most once: a key that its caller chose.
 *
 * Two endpoints share the keys. The owner of the key is endpoint 0 under generations 1 and 3 and
 * endpoint 1 under generation 2. The platform shows any generation up to the last published one,
 * so it may be stale. Endpoints restart with nothing. Once its caller has used the key, an ask may
 * reach either endpoint at any time and any number of times until the life of the key ends: that
 * stands for repeats through any entry, loss, duplication, reorder, late copies and pauses.
 * A stream between endpoints ends with either process.
 */

#define GENERATIONS 3
#define RESTARTS 1
#define OWNER(g) ((g) == 2)

#define SILENT 1
#define UNTIL_USED 2
#define UNTIL_UNUSED 3

#define UNUSED 0
#define ALIVE 1
#define DEAD 2

byte published = 1;
byte life = UNUSED;
byte runs;

byte incarnation[2];
byte gen[2];
byte newest[2];
byte changed[2];
bool blank[2];
bool used[2];       /* the key was in use when the process adopted its first set */
bool elsewhere[2];  /* an earlier set gave the key to the other endpoint */
bool known[2];
byte earlier[2];    /* what is known of the other endpoint */

bool asking[2];
byte asked[2];
bool answered[2];
byte given_gen[2];
byte given_asked[2];
bool given_used[2];
bool given_known[2];

#ifdef NO_QUARANTINE
#define BLANK_OVER(x) true
#else
#define BLANK_OVER(x) (!used[x] || life == DEAD)
#endif

#ifdef NO_CONFIRM
#define EARLIER_OVER(x) true
#else
#define EARLIER_OVER(x) (earlier[x] == UNTIL_UNUSED || (earlier[x] == UNTIL_USED && life == DEAD))
#endif

#ifdef NO_NEWEST
#define NEWEST(x) true
#else
#define NEWEST(x) (newest[x] <= gen[x])
#endif

/* Owners::settle */
#define SETTLED(x) (EARLIER_OVER(x) && (!blank[x] || BLANK_OVER(x)))
/* Owners::may_run */
#define MAY_RUN(x) (gen[x] > 0 && OWNER(gen[x]) == x && NEWEST(x) \
                    && ((!blank[x] && !elsewhere[x]) || SETTLED(x)))

/* Owners::heard */
inline hear(at, number) {
  if
  :: newest[at] < number -> newest[at] = number
  :: else
  fi
}

/* Owners::adopt */
inline adopt(x, g) {
  if
  :: gen[x] == 0 ->
     used[x] = (life != UNUSED);
     blank[x] = true;
     changed[x] = g;
     earlier[x] = SILENT
  :: gen[x] > 0 && OWNER(gen[x]) != OWNER(g) ->
     elsewhere[x] = elsewhere[x] || (OWNER(gen[x]) != x);
     changed[x] = g;
     earlier[x] = SILENT
  :: else
  fi;
  gen[x] = g;
  hear(x, g)
}

/* Once::hand_over, at endpoint own for endpoint to */
inline hand_over(to, own) {
  asking[to] = false;
  hear(own, asked[to]);
  answered[to] = true;
  given_gen[to] = gen[own];
  given_asked[to] = asked[to];
  given_used[to] = used[own];
  given_known[to] = known[own] && OWNER(asked[to]) == to;
#ifdef NO_RECORDS
  given_known[to] = given_known[to] && gen[own] >= asked[to];
#endif
  asked[to] = 0
}

/* Owners::confirm */
#ifdef NO_ABOVE
#define PRESENT(x) (given_gen[x] >= changed[x] && given_asked[x] >= changed[x])
#else
#define PRESENT(x) (given_gen[x] >= changed[x] && given_gen[x] <= given_asked[x])
#endif

/* Once::take_over; an answer may come more than once */
inline take_over(x) {
  hear(x, given_gen[x]);
  if
  :: PRESENT(x) ->
     known[x] = known[x] || given_known[x];
     if
     :: earlier[x] == SILENT && given_used[x] -> earlier[x] = UNTIL_USED
     :: earlier[x] == SILENT && !given_used[x] -> earlier[x] = UNTIL_UNUSED
     :: else
     fi
  :: else
  fi
}

/* Once::new in a new process */
inline restart(x) {
  incarnation[x]++;
  gen[x] = 0; newest[x] = 0; changed[x] = 0;
  blank[x] = false; used[x] = false; elsewhere[x] = false; known[x] = false;
  earlier[x] = 0;
  asking[0] = false; asking[1] = false; asked[0] = 0; asked[1] = 0;
  answered[x] = false; given_gen[x] = 0; given_asked[x] = 0;
  given_used[x] = false; given_known[x] = false
}

proctype Endpoint(byte x) {
end:
  do
  :: atomic { published >= 1 && gen[x] < 1 -> adopt(x, 1) }
  :: atomic { published >= 2 && gen[x] < 2 -> adopt(x, 2) }
  :: atomic { published >= 3 && gen[x] < 3 -> adopt(x, 3) }
  /* Endpoint::ask_keys */
  :: atomic { gen[x] > 0 && earlier[x] == SILENT && !asking[x] ->
       asking[x] = true; asked[x] = gen[x] }
  :: atomic { asking[1 - x] -> hand_over((1 - x), x) }
  :: atomic { answered[x] && gen[x] > 0 -> take_over(x) }
  :: atomic { answered[x] ->
       answered[x] = false;
       given_gen[x] = 0; given_asked[x] = 0; given_used[x] = false; given_known[x] = false }
  /* Endpoint::decide, Once::decide, Once::begin */
  :: atomic { life == ALIVE && !known[x] && MAY_RUN(x) ->
       known[x] = true; runs++; assert(runs <= 1) }
  :: atomic { incarnation[x] < RESTARTS -> restart(x) }
  od
}

/* Operators publish; callers use the key, and the life of the key ends. */
proctype World() {
end:
  do
  :: atomic { published < GENERATIONS -> published++ }
  :: atomic { life == UNUSED -> life = ALIVE }
  :: atomic { life == ALIVE -> life = DEAD }
  od
}

init {
  atomic {
    run Endpoint(0);
    run Endpoint(1);
    run World();
  }
}
