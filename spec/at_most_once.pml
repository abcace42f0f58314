/* A non-idempotent request starts at most once, and "not run" is true:
 * home/home.h, home/journal.h, sched/shard.h.
 *
 * One request, sent in calls one after another, each to any home that still
 * takes itself for one. Homes follow one another by the epoch of the
 * partition, shard owners by that of the shard; a former one may be paused for
 * any time and go on. A call whose caller has gone is not delivered any more;
 * what was delivered before may go on.
 *
 * The journal is a chain of segments created by compare-and-swap on "absent":
 * taking it ends the appends of former homes, for their place is taken. A
 * message or write that is lost is one that stays under way.
 *
 * Faults: pauses, changes of both owners at any time, lost and late answers
 * of the store, enqueues and starts that come late or never, callers that go.
 *
 * With -DPATIENT the record in the chain is that of accepted work: a home that
 * finds it starts it without a caller. Else only a call makes a home go on.
 *
 * Guards that can be taken out:
 *   NO_GUARD_INTENT   a start is asked for before its intent is durable
 *   NO_GUARD_CHAIN    appends of former homes still take effect
 *   NO_GUARD_RESOLVE  a home that finds an intent starts without asking
 *   NO_GUARD_UNKNOWN  an append without an answer is taken for "not written";
 *                     shows with -DPATIENT, for else nothing starts from it
 *   NO_GUARD_LEASE    a home says "not run" without holding its lease
 *   NO_GUARD_ADDRESS  an enqueue doesn't name the shard epoch it is meant for
 *   NO_GUARD_HOME     a shard takes work from homes below the highest it heard
 *   NO_GUARD_VIEW     a new shard owner takes work from any home until it hears
 *                     of a newer one, rather than from those of a view of the
 *                     owner records that was read after its claim
 *   NO_GUARD_EPOCH    the target accepts starts of lower epochs
 *   NO_GUARD_REPORT   a shard starts, and answers for its targets, before they
 *                     have reported
 */
#ifndef HOMES
#define HOMES 2 /* Epochs of the partition. */
#endif
#ifndef OWNERS
#define OWNERS 2 /* Epochs of the shard. */
#endif
#ifndef CALLS
#define CALLS 2
#endif

mtype = { idle, appending, intended, sent, resolved };
mtype = { unsent, waiting, gone, not_run, other };

/* The store. */
byte home_epoch = 1;
byte shard_epoch = 1;
byte chain_home; /* Epoch that has taken the chain. */
bit intent;      /* It is in the chain. */

/* The target. */
byte fence;
bit ran;

/* One for each epoch of the partition. */
typedef Home {
  bit taken;   /* Has the chain, as it knows. */
  mtype step;
  bit append;  /* Of the intent, under way. */
  byte shard;  /* Shard epoch that it last sent to. */
  byte enqueue; /* Under way to this shard epoch. */
}
Home homes[HOMES + 1];

/* One for each epoch of the shard. */
typedef Shard {
  byte highest; /* Epoch of a home. */
  bit reported; /* The target has reported to it. */
  bit queued;
  bit listed;   /* Started here, or reported by the target. */
  bit start;    /* Under way. */
}
Shard shards[OWNERS + 1];

/* The caller. */
mtype calls[CALLS + 1];
byte call_home[CALLS + 1]; /* Home that it was delivered to. */
bit told; /* "Not run" was the answer, and no call was open then or since. */

#ifdef NO_GUARD_LEASE
#define STILL_HOME(e) true
#else
#define STILL_HOME(e) ((e) == home_epoch)
#endif
#ifdef NO_GUARD_CHAIN
#define MAY_APPEND(e) true
#else
#define MAY_APPEND(e) (chain_home == (e))
#endif
#ifdef NO_GUARD_ADDRESS
#define REACHES(m, t) ((m) <= (t))
#else
#define REACHES(m, t) ((m) == (t))
#endif
#ifdef NO_GUARD_HOME
#define HEARS(t, e) true
#else
#define HEARS(t, e) ((e) >= shards[t].highest)
#endif
#ifdef NO_GUARD_EPOCH
#define FENCED(t) false
#else
#define FENCED(t) ((t) < fence)
#endif
#ifdef NO_GUARD_REPORT
#define REPORTED(t) true
#else
#define REPORTED(t) (shards[t].reported)
#endif
#ifdef PATIENT
#define REFUSES_RESOLVED(e) false
#else
#define REFUSES_RESOLVED(e) (homes[e].step == resolved)
#endif
#define WORKS(e, c) (call_home[c] == (e) && \
                     (calls[c] == waiting || calls[c] == gone))

inline Hear(t, e) {
  shards[t].highest = (e > shards[t].highest -> e : shards[t].highest)
}

/* A caller that has given up is not told any more; the rest of the request's
 * calls at this home end with it. */
inline AnswerNotRun(e, c) {
  d_step {
    if
    :: calls[c] == waiting ->
        calls[c] = not_run;
        told = 1;
        assert(!ran) /* not_run_is_true */
    :: else
    fi;
    for (k : 1 .. CALLS) {
      call_home[k] = (call_home[k] == e && calls[k] == gone -> 0 : call_home[k])
    }
    call_home[c] = 0;
    k = 0
  }
}

proctype HomeOwner(byte e) {
  byte c, k;
  do
  :: d_step { e <= home_epoch && !homes[e].taken && chain_home < e ->
      homes[e].taken = 1;
      chain_home = e;
      homes[e].step = (intent -> sent : idle)
    }
  /* Work that a call asks for. */
  :: atomic { homes[e].taken ->
      c = 1;
      do
      :: c < CALLS -> c++
      :: break
      od;
      if
      :: calls[c] == waiting && call_home[c] == 0 -> call_home[c] = e
#ifndef NO_GUARD_INTENT
      :: WORKS(e, c) && homes[e].step == idle ->
          homes[e].step = appending;
          homes[e].append = 1
#else
      :: WORKS(e, c) && homes[e].step == idle -> homes[e].step = intended
#endif
      :: WORKS(e, c) && homes[e].step == resolved -> homes[e].step = intended
      :: WORKS(e, c) && STILL_HOME(e) &&
         (homes[e].step == idle || REFUSES_RESOLVED(e)) ->
          AnswerNotRun(e, c)
      :: calls[c] == waiting && call_home[c] == e -> /* Unknown, or a result. */
          calls[c] = other;
          call_home[c] = 0
      :: else
      fi;
      c = 0
    }
  /* The append takes effect, and is answered or not. */
  :: d_step { homes[e].append && MAY_APPEND(e) ->
      homes[e].append = 0;
      intent = 1;
      homes[e].step = (homes[e].step == appending -> intended : homes[e].step)
    }
  :: d_step { homes[e].append && MAY_APPEND(e) ->
      homes[e].append = 0;
      intent = 1
    }
  /* No answer: the chain is read back. */
  :: d_step { homes[e].step == appending && chain_home == e && intent ->
      homes[e].step = intended
    }
#ifdef NO_GUARD_UNKNOWN
  :: d_step { homes[e].step == appending -> homes[e].step = idle }
#endif
#ifdef PATIENT
  :: d_step { homes[e].step == resolved -> homes[e].step = intended }
#endif
#ifdef NO_GUARD_RESOLVE
  :: d_step { homes[e].step == sent && homes[e].shard == 0 ->
      homes[e].step = intended
    }
#endif
  :: d_step { homes[e].step == intended && homes[e].enqueue == 0 ->
      homes[e].enqueue = shard_epoch;
      homes[e].shard = shard_epoch;
      homes[e].step = sent
    }
  :: d_step { homes[e].step == sent && homes[e].shard < shard_epoch &&
              HEARS(shard_epoch, e) && REPORTED(shard_epoch) ->
      /* Inquire and Known, complete. */
      Hear(shard_epoch, e);
      if
      :: !shards[shard_epoch].queued && !shards[shard_epoch].listed ->
          homes[e].step = resolved;
#ifndef NO_GUARD_ADDRESS
          homes[e].enqueue = 0 /* Its shard epoch is past. */
#endif
      :: else
      fi
    }
  od
}

proctype ShardOwner(byte t) {
  byte e;
  do
  :: d_step { t <= shard_epoch && !shards[t].reported && t >= fence ->
      fence = t;
      shards[t].reported = 1;
      shards[t].listed = (ran -> 1 : shards[t].listed)
    }
  :: atomic { t <= shard_epoch ->
      e = 1;
      do
      :: e < HOMES -> e++
      :: break
      od;
      if
      :: homes[e].enqueue > 0 && REACHES(homes[e].enqueue, t) ->
          d_step {
            homes[e].enqueue = 0;
            if
            :: HEARS(t, e) ->
                Hear(t, e);
                shards[t].queued = !shards[t].listed
            :: else
            fi
          }
      :: else
      fi;
      e = 0
    }
  :: d_step { shards[t].queued && REPORTED(t) ->
      shards[t].queued = 0;
      shards[t].listed = 1;
      shards[t].start = 1
    }
  :: d_step { shards[t].start ->
      shards[t].start = 0;
      if
      :: !FENCED(t) ->
          fence = (t > fence -> t : fence);
          assert(!ran);  /* at_most_once */
          assert(!told); /* not_run_is_true */
          ran = 1
      :: else
      fi
    }
  od
}

proctype Caller() {
  byte c;
  c = 1;
  do
  :: d_step { c <= CALLS && calls[c] == unsent ->
      calls[c] = waiting;
      told = 0
    }
  :: d_step { c <= CALLS && calls[c] == waiting -> calls[c] = gone }
  :: d_step { c <= CALLS && calls[c] != unsent && calls[c] != waiting -> c++ }
  :: d_step { home_epoch < HOMES -> home_epoch++ }
  :: d_step { shard_epoch < OWNERS ->
      shard_epoch++;
#ifndef NO_GUARD_VIEW
      shards[shard_epoch].highest = home_epoch
#endif
    }
  od
}

init {
  byte n;
  atomic {
    for (n : 1 .. CALLS) { calls[n] = unsent }
    for (n : 1 .. HOMES) { homes[n].step = idle; run HomeOwner(n) }
    for (n : 1 .. OWNERS) { run ShardOwner(n) }
    run Caller()
  }
}
