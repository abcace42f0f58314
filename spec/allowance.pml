/* Team allowances in one record of the store: limits/ledger.h and
 * limits/grant_holder.h.
 *
 * The record's revision is not counted. A write that takes effect ends all
 * others that are under way, for their compare would fail; a write that is
 * lost is one that stays under way. An owner that asks may know any revision
 * of the configuration that is not older than the record's. Owners change
 * without bound.
 *
 * Faults: writes that are lost, late or doubled (the second finds the record
 * moved on), lost answers, owners that die with allowances and running tasks,
 * a limit that is lowered and raised while owners know different revisions.
 *
 * Guards that can be taken out:
 *   NO_GUARD_ADOPT       a new owner uses the allowance as it reads it
 *   NO_GUARD_UNRESOLVED  an owner forgets a write whose answer was lost
 *   NO_GUARD_LOWER       a lowered allowance is used until the write stands
 *   NO_GUARD_CAS         writes are not compared with the revision
 */
#ifndef SHARDS
#define SHARDS 2
#endif
#ifndef HIGH
#define HIGH 2 /* Limit of revisions 0 and 2. */
#endif
#ifndef LOW
#define LOW 1 /* Limit of revision 1. */
#endif
#ifndef REVISIONS
#define REVISIONS 2
#endif
#ifndef WRITES
#define WRITES 2 /* Under way at once, for each shard. */
#endif
#define LIMIT(config) ((config) == 1 -> LOW : HIGH)
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The record. */
byte slots[SHARDS];
bit adopted[SHARDS]; /* Its epoch for the shard is the present owner's. */
byte record_config;

/* Writes under way. */
typedef Write {
  bit under_way;
  bit own;     /* Sent by the present owner, */
  bit awaited; /* which still waits for its answer. */
  byte slots;
  byte config;
}
typedef Writes { Write at[WRITES] }
Writes writes[SHARDS];

byte usable[SHARDS];
byte running[SHARDS]; /* At the targets; outlives the owner. */

/* Set and used within one step; no part of the state, but where Spin's search
 * in breadth can't leave it out. */
#ifdef BREADTH_FIRST
#define SCRATCH
#else
#define SCRATCH hidden
#endif
SCRATCH byte i, j, sum, used, others, next, before, room;

inline Sum() {
  sum = 0;
  for (i : 0 .. SHARDS - 1) { sum = sum + slots[i] }
}

inline EndWrite(s, k) {
  writes[s].at[k].under_way = 0;
  writes[s].at[k].own = 0;
  writes[s].at[k].awaited = 0;
  writes[s].at[k].slots = 0;
  writes[s].at[k].config = 0
}

inline EndAllWrites() {
#ifdef NO_GUARD_CAS
  skip
#else
  for (i : 0 .. SHARDS - 1) {
    for (j : 0 .. WRITES - 1) { EndWrite(i, j) }
  }
#endif
}

inline CheckLimit() {
  Sum();
  used = 0;
  for (i : 0 .. SHARDS - 1) {
    used = used + running[i];
    assert(running[i] <= slots[i]) /* use_within_allowance */
  }
  /* team_limit: unless the sum stands above a limit that was lowered. */
  assert(sum > LIMIT(record_config) || used <= LIMIT(record_config))
}

/* NextSlots: an owner that knows revision c asks for part p. */
inline NextSlots(s, c, p) {
  Sum();
  others = sum - slots[s];
  if
  :: p <= slots[s] -> next = MIN(slots[s], MAX(p, running[s]))
  :: else ->
      room = (sum < LIMIT(c) -> LIMIT(c) - sum : 0);
      next = slots[s] + MIN(room, p - slots[s])
  fi
}

/* Whether a write of the present owner may still take effect. */
#define WAITS(s) (writes[s].at[0].awaited || writes[s].at[WRITES - 1].awaited)
#define UNRESOLVED(s) (writes[s].at[0].own || writes[s].at[WRITES - 1].own)

/* PrepareWrite: what is usable until the write stands. */
inline Lower(s) {
  if
#ifndef NO_GUARD_ADOPT
  :: !adopted[s] -> usable[s] = 0
#endif
#ifndef NO_GUARD_UNRESOLVED
  :: adopted[s] && UNRESOLVED(s) -> usable[s] = MIN(usable[s], next)
#endif
#ifndef NO_GUARD_LOWER
  :: else -> usable[s] = MIN(slots[s], next)
#else
  :: else -> usable[s] = slots[s]
#endif
  fi
}

inline Ask(s, c, p) {
  d_step {
    NextSlots(s, c, p);
    if
    :: adopted[s] && !UNRESOLVED(s) && next == slots[s] && c == record_config ->
        Lower(s)
    :: else ->
        Lower(s);
        j = (writes[s].at[0].under_way -> WRITES - 1 : 0);
        if
        :: !writes[s].at[j].under_way ->
            writes[s].at[j].under_way = 1;
            writes[s].at[j].own = 1;
            writes[s].at[j].awaited = 1;
            writes[s].at[j].slots = next;
            writes[s].at[j].config = c
        :: else
        fi
    fi
  }
}

proctype Shard(byte s) {
  byte c, p, k;
  do
  :: atomic { !WAITS(s) ->
      c = record_config;
      do
      :: c < REVISIONS -> c++
      :: break
      od;
      do
      :: p < LIMIT(c) -> p++
      :: break
      od;
      Ask(s, c, p);
      c = 0; p = 0
    }
  /* Waits no longer; the write may still take effect. */
  :: d_step { WAITS(s) ->
      for (k : 0 .. WRITES - 1) { writes[s].at[k].awaited = 0 }
      k = 0
    }
  :: d_step { running[s] < usable[s] -> running[s]++; CheckLimit() }
  :: d_step { running[s] > 0 -> running[s]-- }
  /* The owner dies; its successor starts with nothing but what runs. */
  :: d_step {
      usable[s] = 0;
      adopted[s] = 0;
      for (k : 0 .. WRITES - 1) {
        writes[s].at[k].own = 0;
        writes[s].at[k].awaited = 0
      }
      k = 0
    }
  od
}

/* A write takes effect; its answer arrives or is lost. */
inline Deliver(s, k, answered) {
  d_step {
    before = slots[s];
    slots[s] = writes[s].at[k].slots;
    adopted[s] = writes[s].at[k].own;
    record_config = MAX(record_config, writes[s].at[k].config);
    if
    :: answered && writes[s].at[k].awaited -> usable[s] = slots[s]
    :: else
    fi;
    EndWrite(s, k);
    EndAllWrites();
    Sum();
    /* grants_within_limit */
    assert(slots[s] <= before || sum <= LIMIT(record_config));
    CheckLimit()
  }
}

proctype Network(byte s) {
  byte k;
  do
  :: atomic { writes[s].at[0].under_way -> k = 0; Deliver(s, k, true) }
  :: atomic { writes[s].at[0].under_way -> k = 0; Deliver(s, k, false) }
  :: atomic { writes[s].at[WRITES - 1].under_way ->
      k = WRITES - 1; Deliver(s, k, true); k = 0 }
  :: atomic { writes[s].at[WRITES - 1].under_way ->
      k = WRITES - 1; Deliver(s, k, false); k = 0 }
  od
}

init {
  byte n;
  atomic {
    for (n : 0 .. SHARDS - 1) { run Shard(n); run Network(n) }
  }
}
