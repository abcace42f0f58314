/* Spread of configuration revisions, and withdrawal of keys: config/.
 *
 * Operators race by compare-and-swap on the one revision; each makes one change
 * upon what it has read, operator 0 withdraws a key. Hosts ask the store, or a
 * peer, and take revisions only upwards. Each host counts how long ago its
 * configuration was surely the newest: from when it asked, plus the peer's own
 * count where a peer answered. Beyond the bound it trusts no key.
 *
 * Time goes by in ticks of one clock; counts stop one above the bound.
 *
 * Faults: writes and answers that are lost or late, hosts that lag or are cut
 * off from the store, from peers or from all (none of these steps happens),
 * restarts.
 *
 * Guards that can be taken out:
 *   NO_GUARD_CAS      an operator's write is not compared with the revision
 *   NO_GUARD_UPWARDS  a host takes whatever revision it is shown
 *   NO_GUARD_STALE    a host trusts keys however old its configuration is
 *   NO_GUARD_ASKED_AT the count starts with the answer
 *   NO_GUARD_PEER_AGE a peer's answer counts as if it came from the store
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef BOUND
#define BOUND 2 /* Ticks that a configuration is trusted without news. */
#endif
#ifndef TRIES
#define TRIES 2 /* Of each operator, where its answers are lost. */
#endif
#define REVISIONS (TRIES * OPERATORS)
#define TOO_OLD (BOUND + 1)
#define CAPPED(age) ((age) < TOO_OLD -> (age) : TOO_OLD)
#define HAS(config, o) ((content[config] >> (o)) & 1)

/* The store. */
byte revision;
byte content[REVISIONS + 1]; /* Bit for each operator's change. */

bit told[OPERATORS];     /* Its change was accepted. */
byte since_withdrawal;   /* Ticks that a revision without the key has stood. */

mtype = { quiet, asking, answered };

typedef Host {
  byte config;       /* Revision in force; 0 has the key, like any before. */
  byte age;          /* Ticks since it was surely the newest. */
  mtype reading;
  byte read_config;
  byte read_age;
}
Host hosts[HOSTS];

/* Set and used within one step; no part of the state, but where Spin's search
 * in breadth can't leave it out. */
#ifdef BREADTH_FIRST
#define SCRATCH
#else
#define SCRATCH hidden
#endif
SCRATCH byte i;

#ifdef NO_GUARD_CAS
#define MAY_WRITE(seen) true
#else
#define MAY_WRITE(seen) (revision == (seen))
#endif
#ifdef NO_GUARD_UPWARDS
#define TAKES(h) true
#else
#define TAKES(h) (hosts[h].read_config > hosts[h].config)
#endif
#ifdef NO_GUARD_STALE
#define TRUSTS(h) true
#else
#define TRUSTS(h) (hosts[h].age <= BOUND)
#endif

proctype Clock() {
  byte h;
  do
  :: d_step {
      for (h : 0 .. HOSTS - 1) {
        hosts[h].age = CAPPED(hosts[h].age + 1);
#ifndef NO_GUARD_ASKED_AT
        if
        :: hosts[h].reading != quiet ->
            hosts[h].read_age = CAPPED(hosts[h].read_age + 1)
        :: else
        fi
#endif
      }
      if
      :: HAS(revision, 0) -> since_withdrawal = CAPPED(since_withdrawal + 1)
      :: else
      fi;
      h = 0
    }
  od
}

proctype Operator(byte o) {
  byte seen, tries;
  do
  :: !told[o] && tries < TRIES ->
      d_step {
        seen = revision;
        tries++;
        told[o] = HAS(revision, o) /* An earlier write, read back. */
      }
      if
      :: told[o]
      :: !told[o] -> skip /* Lost on its way. */
      :: d_step { !told[o] && MAY_WRITE(seen) && revision < REVISIONS ->
          content[revision + 1] = content[seen] | (1 << o);
          revision++;
          for (i : 0 .. OPERATORS - 1) {
            /* accepted_never_reverts */
            assert(!told[i] || HAS(revision, i))
          }
          i = 0
        }
        if
        :: told[o] = 1
        :: skip /* The answer is lost. */
        fi
      fi;
      seen = 0
  :: else -> break
  od;
  tries = 0
}

proctype Member(byte h) {
  byte peer;
  do
  :: d_step { hosts[h].reading == quiet ->
      hosts[h].reading = asking;
      hosts[h].read_age = 0
    }
  /* The store answers, */
  :: d_step { hosts[h].reading == asking ->
      hosts[h].reading = answered;
      hosts[h].read_config = revision
    }
  /* or a peer. */
  :: atomic { hosts[h].reading == asking ->
      peer = 0;
      do
      :: peer < HOSTS - 1 -> peer++
      :: break
      od;
      hosts[h].reading = answered;
      hosts[h].read_config = hosts[peer].config;
#ifndef NO_GUARD_PEER_AGE
      hosts[h].read_age = CAPPED(hosts[h].read_age + hosts[peer].age);
#endif
      peer = 0
    }
  /* The answer arrives, at last, */
  :: d_step { hosts[h].reading == answered ->
      if
      :: hosts[h].read_config == hosts[h].config ->
          hosts[h].age = (hosts[h].read_age < hosts[h].age ->
                          hosts[h].read_age : hosts[h].age)
      :: hosts[h].read_config != hosts[h].config && TAKES(h) ->
          assert(hosts[h].read_config > hosts[h].config); /* revisions_only_rise */
          hosts[h].config = hosts[h].read_config;
          hosts[h].age = hosts[h].read_age
      :: else
      fi;
      hosts[h].reading = quiet;
      hosts[h].read_config = 0;
      hosts[h].read_age = 0
    }
  /* or never. */
  :: d_step { hosts[h].reading != quiet ->
      hosts[h].reading = quiet;
      hosts[h].read_config = 0;
      hosts[h].read_age = 0
    }
  /* A call with the key. */
  :: d_step { !HAS(hosts[h].config, 0) && TRUSTS(h) ->
      assert(since_withdrawal <= BOUND) /* withdrawn_key_refused */
    }
  /* A restart. */
  :: d_step {
      hosts[h].config = 0;
      hosts[h].age = TOO_OLD;
      hosts[h].reading = quiet;
      hosts[h].read_config = 0;
      hosts[h].read_age = 0
    }
  od
}

init {
  byte n;
  atomic {
    for (n : 0 .. HOSTS - 1) {
      hosts[n].age = TOO_OLD;
      hosts[n].reading = quiet;
      run Member(n)
    }
    for (n : 0 .. OPERATORS - 1) { run Operator(n) }
    run Clock()
  }
}
