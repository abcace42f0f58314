/* Ownership of one shard, its handover, and starts at one of its targets:
 * member/ownership.h.
 *
 * Time is known only by what it has passed. A host's own lease may lapse at any
 * moment, the store's only after it, because the host counts from before its
 * request was sent. A start checked under a lease is late once the store's
 * lease has lapsed. A write to the owner record ends every claim that was
 * prepared before it, for its compare would fail.
 *
 * Faults: a pause between any two steps, above all between lease check and
 * send; crashes; claims that come late or never; answers that come late or
 * never; leases that lapse while their holder is paused; a store that is away
 * (none of its steps happens).
 *
 * What the target honours: the epoch, or -DTARGET_START_BY, or
 * -DTARGET_NEITHER. With -DWAIT_FORMER an owner takes no report of the target
 * before the former owner has surely let go.
 *
 * With -DSUSPECT a range is claimed at any time, from an owner that is alive and
 * registered as well: entry/owner_watch.h may be wrong about it. Two hosts then
 * believe that they own it; what holds at targets has to hold all the same.
 *
 * Guards that can be taken out:
 *   NO_GUARD_EPOCH        the target accepts lower epochs (that is, neither)
 *   NO_GUARD_REPORT       an owner starts before the target has reported
 *   NO_GUARD_CAS          claims are not compared with the revision
 *   NO_GUARD_READ_ORDER   members are read before owners
 *   NO_GUARD_INCARNATION  a host whose lease lapsed registers as before
 *   NO_GUARD_SENT_AT      the lease counts from the answer
 *   NO_GUARD_DRAIN        a range is released with starts unanswered
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define NOBODY 255
#define CAPACITY 1

mtype = { none, in_time, late };

/* The store. */
byte owner = NOBODY;
bit owner_current; /* The owner's incarnation is its latest. */
byte epoch;
bit registered[HOSTS];
bit lapsed[HOSTS]; /* The store's lease; it may now end the registration. */

/* The target. */
byte running;
byte fence; /* Highest epoch it has heard of. */

typedef Host {
  bit up;
  bit own_lapsed;      /* The lease, on its own clock. */
  mtype renewal;       /* Answer under way. */
  byte owned;          /* Epoch, 0: not ours. */
  byte known;          /* Highest epoch seen. */
  bit has_read;        /* Half of a view. */
  byte read_members;   /* Bit for each, where they are read first. */
  byte claim;          /* Epoch of a claim under way, or 0. */
  bit claim_current;   /* It carries the latest incarnation. */
  byte answer;         /* Epoch of a claim answered as written. */
  bit releasing;
  bit let_go;          /* The release has still to be written. */
  bit free;            /* The target has room, as far as is known. */
  mtype checked;       /* A start that is decided and not sent. */
  mtype start;         /* A start under way. */
  byte start_epoch;
}
Host hosts[HOSTS];

/* Set and used within one step; no part of the state, but where Spin's search
 * in breadth can't leave it out. */
#ifdef BREADTH_FIRST
#define SCRATCH
#else
#define SCRATCH hidden
#endif
SCRATCH byte i, holders;

#if defined(TARGET_START_BY) || defined(TARGET_NEITHER)
#define LEASED(h) (!hosts[h].own_lapsed) /* A start needs the lease. */
#else
#define LEASED(h) true
#endif
#ifdef NO_GUARD_DRAIN
#define DRAINED(h) true
#else
#define DRAINED(h) (hosts[h].checked == none && hosts[h].start == none)
#endif
#ifdef NO_GUARD_REPORT
#define ROOM(h) true
#else
#define ROOM(h) (hosts[h].free)
#endif
#if defined(TARGET_NEITHER) || defined(NO_GUARD_EPOCH)
#define ACCEPTS(h) true
#elif defined(TARGET_START_BY)
#define ACCEPTS(h) (hosts[h].start == in_time)
#else
#define ACCEPTS(h) (hosts[h].start_epoch >= fence)
#endif
/* Told apart only where it matters, to keep the state space small. */
#ifdef TARGET_START_BY
#define LATE_START late
#else
#define LATE_START in_time
#endif
#ifdef NO_GUARD_SENT_AT
#define LATE_RENEWAL late
#else
#define LATE_RENEWAL none
#endif
#define HOLDS(h) (hosts[h].up && !hosts[h].own_lapsed)

inline CheckHolders() {
  holders = 0;
  for (i : 0 .. HOSTS - 1) {
    if
    :: hosts[i].owned > 0 && HOLDS(i) -> holders++
    :: else
    fi
  }
#ifndef SUSPECT
  assert(holders <= 1) /* one_lease_holder */
#else
  holders = 0
#endif
}

inline Drop(h) {
  hosts[h].owned = 0;
  hosts[h].releasing = 0;
  hosts[h].free = 0
}

inline Gain(h, e) {
  Drop(h);
  hosts[h].owned = e;
  hosts[h].known = e;
  hosts[h].let_go = 0;
  CheckHolders()
}

/* What was read or claimed before this write is out of date. */
inline EndClaims() {
  for (i : 0 .. HOSTS - 1) {
#ifndef NO_GUARD_READ_ORDER
    hosts[i].has_read = 0;
#endif
#ifndef NO_GUARD_CAS
    hosts[i].claim = 0;
    hosts[i].claim_current = 0
#else
    skip
#endif
  }
  i = 0
}

/* Takes in the owner record. */
inline Learn(h) {
  if
  :: owner == h && owner_current ->
      if
      :: epoch > hosts[h].known -> Gain(h, epoch)
      :: else
      fi
  :: else ->
      Drop(h);
      hosts[h].let_go = 0;
      hosts[h].known = epoch
  fi
}

inline ClaimIf(h, gone) {
  if
  :: gone && epoch < EPOCHS && HOLDS(h) && registered[h] &&
     hosts[h].claim == 0 ->
      hosts[h].claim = epoch + 1;
      hosts[h].claim_current = 1
  :: else
  fi
}

#ifdef SUSPECT
#define OWNER_GONE (owner != h)
#else
#define OWNER_GONE (owner == NOBODY || !owner_current || !registered[owner])
#endif

proctype Member(byte h) {
  do
  /* A view in two reads, and a claim upon it. */
#ifndef NO_GUARD_READ_ORDER
  :: d_step { hosts[h].up -> Learn(h); hosts[h].has_read = 1 }
  :: d_step { hosts[h].up && hosts[h].has_read ->
      hosts[h].has_read = 0;
      ClaimIf(h, OWNER_GONE)
    }
#else
  :: d_step { hosts[h].up && !hosts[h].has_read ->
      hosts[h].has_read = 1;
      for (i : 0 .. HOSTS - 1) {
        hosts[h].read_members = hosts[h].read_members | (registered[i] << i)
      }
    }
  :: d_step { hosts[h].up && hosts[h].has_read ->
      Learn(h);
      ClaimIf(h, owner == NOBODY || !owner_current ||
                 !(hosts[h].read_members & (1 << owner)));
      hosts[h].has_read = 0;
      hosts[h].read_members = 0
    }
#endif
  /* The answer to a claim, at last. */
  :: d_step { hosts[h].up && hosts[h].answer > 0 ->
      if
      :: hosts[h].answer > hosts[h].known -> Gain(h, hosts[h].answer)
      :: else
      fi;
      hosts[h].answer = 0
    }
  :: d_step { hosts[h].answer > 0 -> hosts[h].answer = 0 }

  /* Planned handover. */
  :: d_step { hosts[h].up && hosts[h].owned > 0 && !hosts[h].releasing ->
      hosts[h].releasing = 1
    }
  :: d_step { hosts[h].up && hosts[h].releasing && DRAINED(h) ->
      Drop(h);
      hosts[h].let_go = 1
    }
  :: d_step { hosts[h].up && hosts[h].let_go ->
      hosts[h].let_go = 0;
      if
      :: owner == h && owner_current && epoch == hosts[h].known ->
          owner = NOBODY;
          owner_current = 0;
          EndClaims()
      :: else
      fi
    }

  /* The lease. */
  :: d_step { hosts[h].up && !hosts[h].own_lapsed -> hosts[h].own_lapsed = 1 }
  :: d_step { hosts[h].up && registered[h] && hosts[h].renewal == none ->
      lapsed[h] = 0;
      hosts[h].renewal = in_time
    }
  :: d_step { hosts[h].up && hosts[h].renewal != none ->
      hosts[h].own_lapsed = 0;
      hosts[h].renewal = none;
      CheckHolders()
    }
  :: d_step { hosts[h].renewal != none -> hosts[h].renewal = none }
  :: d_step { !registered[h] && (!hosts[h].up || hosts[h].own_lapsed) ->
#ifdef NO_GUARD_INCARNATION
      if
      :: hosts[h].up
      :: else ->
#endif
      Drop(h);
      hosts[h].let_go = 0;
      hosts[h].answer = 0;
      hosts[h].claim_current = 0;
      if
      :: owner == h -> owner_current = 0
      :: else
      fi;
#ifdef NO_GUARD_INCARNATION
      fi;
#endif
      hosts[h].renewal = none;
      hosts[h].up = 1;
      hosts[h].own_lapsed = 0;
      registered[h] = 1;
      lapsed[h] = 0;
      CheckHolders()
    }

  /* Starts. */
  :: d_step { hosts[h].up && hosts[h].owned > 0 && hosts[h].checked == none &&
              hosts[h].start == none && !hosts[h].releasing && !hosts[h].free ->
#if !defined(TARGET_START_BY) && !defined(TARGET_NEITHER)
      /* The report fences lower epochs, or is refused. */
      if
      :: hosts[h].owned >= fence ->
          fence = hosts[h].owned;
          hosts[h].free = (running < CAPACITY)
      :: else
      fi
#else
      hosts[h].free = (running < CAPACITY)
#ifdef WAIT_FORMER
      ;
      for (i : 0 .. HOSTS - 1) {
        if
        :: i != h && (hosts[i].owned > 0 || hosts[i].checked != none ||
                      hosts[i].start != none) -> hosts[h].free = 0
        :: else
        fi
      }
      i = 0
#endif
#endif
    }
  :: d_step { hosts[h].up && hosts[h].owned > 0 && hosts[h].checked == none &&
              hosts[h].start == none && !hosts[h].releasing &&
              ROOM(h) && LEASED(h) ->
      hosts[h].free = 0;
      hosts[h].checked = in_time;
      hosts[h].start_epoch = hosts[h].owned
    }
  :: d_step { hosts[h].checked != none ->
      hosts[h].start = hosts[h].checked;
      hosts[h].checked = none
    }

  /* The process ends; what it has sent stays under way. */
  :: d_step { hosts[h].up ->
      Drop(h);
      hosts[h].up = 0;
      hosts[h].own_lapsed = 1;
      hosts[h].renewal = none;
      hosts[h].known = 0;
      hosts[h].has_read = 0;
      hosts[h].read_members = 0;
      hosts[h].answer = 0;
      hosts[h].let_go = 0;
      hosts[h].checked = none
    }
  od
}

proctype Store(byte h) {
  do
  :: d_step { registered[h] && !lapsed[h] && hosts[h].own_lapsed ->
      lapsed[h] = 1;
      hosts[h].renewal = (hosts[h].renewal == none -> none : LATE_RENEWAL);
      hosts[h].checked = (hosts[h].checked == none -> none : LATE_START);
      hosts[h].start = (hosts[h].start == none -> none : LATE_START)
    }
  :: d_step { registered[h] && lapsed[h] -> registered[h] = 0 }
  :: d_step { hosts[h].claim > 0 ->
#ifndef NO_GUARD_CAS
      assert(hosts[h].claim > epoch); /* epochs_only_rise */
#endif
      owner = h;
      owner_current = hosts[h].claim_current;
      epoch = hosts[h].claim;
      hosts[h].answer = (hosts[h].up && owner_current -> epoch : 0);
      hosts[h].claim = 0;
      hosts[h].claim_current = 0;
      EndClaims()
    }
  od
}

proctype Target(byte h) {
  do
  :: d_step { h == 0 && running > 0 -> running-- }
  :: d_step { hosts[h].start != none ->
      if
      :: ACCEPTS(h) ->
          fence = (hosts[h].start_epoch > fence -> hosts[h].start_epoch : fence);
          assert(running < CAPACITY); /* capacity_never_exceeded */
          running++
      :: else
      fi;
      hosts[h].start = none;
      hosts[h].start_epoch = 0
    }
  :: d_step { hosts[h].start != none -> /* Lost on its way. */
      hosts[h].start = none;
      hosts[h].start_epoch = 0
    }
  od
}

init {
  byte n;
  atomic {
    for (n : 0 .. HOSTS - 1) {
      hosts[n].renewal = none;
      hosts[n].checked = none;
      hosts[n].start = none;
      hosts[n].own_lapsed = 1;
      run Member(n);
      run Store(n);
      run Target(n)
    }
  }
}
