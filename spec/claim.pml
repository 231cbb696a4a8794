/* Claims of idempotency keys: one shard, two entries that may both believe they
 * own it, one target, one key, lost answers, lapses and retries.
 *
 * Promises: the request runs at most once; "not run" is only told of a request
 * that never ran and never will. Twins, each of which must break a promise:
 *   -DCLAIM_AFTER_DISPATCH   the claim is written after the dispatch
 *   -DLEASE_ALONE            a write needs the lease only, not the compare
 *   -DNOT_RUN_ON_TIMEOUT     a time-out is told as "not run"
 */
#define ENTRIES 2
#define TRIES 2

byte epoch = 0;          /* epoch in the shard's head */
bool claimed = false;    /* the key's claim in the ledger */
byte holder = 255;       /* who holds the store lease; 255 is nobody */
byte runs = 0;           /* how often the target ran the request */
bool toldNotRun = false; /* a caller was told "not run" */

chan toTarget = [2] of { byte };
chan fromTarget[ENTRIES] = [2] of { bool }; /* true: done, false: refused */

/* The lease lapses at any time: its holder may be paused. */
active proctype Lease() {
  byte lapses = 0;
  do
  :: atomic { holder != 255 && lapses < 2 -> holder = 255; lapses++ }
  :: lapses >= 2 -> break
  :: timeout -> break
  od
}

active proctype Target() {
  byte from;
end:
  do
  :: atomic {
       toTarget ? from ->
       if
       :: runs++; assert(runs <= 1); assert(!toldNotRun); fromTarget[from] ! true
       :: fromTarget[from] ! false
       fi
     }
  od
}

inline tellNotRun() { atomic { assert(runs == 0); toldNotRun = true } }

active [ENTRIES] proctype Entry() {
  byte mine = 0;   /* epoch under which this entry writes */
  byte tries = 0;
  bool done;
  bool wrote;
  bool known;
  byte me = _pid - 2;
again:
  do
  :: tries < TRIES ->
     tries++;
     /* Take the shard where nobody holds the lease. */
     if
     :: atomic { holder == 255 && mine == 0 -> holder = me; epoch++; mine = epoch }
     :: else -> skip
     fi;
     if
     :: mine == 0 -> goto again /* not the owner: "key not checked" */
     :: else -> skip
     fi;
     /* The ledger as read when the shard was taken, kept up by own writes. */
     known = claimed;
     if
     :: known -> goto again /* the first outcome, or unknown; never "not run" */
     :: else -> skip
     fi;
#ifdef CLAIM_AFTER_DISPATCH
     toTarget ! me;
#endif
     /* Compare-and-swap; its answer may be lost, which reading back settles. */
     atomic {
#ifdef LEASE_ALONE
       wrote = true; claimed = true
#else
       wrote = (epoch == mine && !claimed);
       if
       :: wrote -> claimed = true
       :: else -> mine = 0
       fi
#endif
     };
     if
     :: !wrote -> goto again
     :: else -> skip
     fi;
#ifndef CLAIM_AFTER_DISPATCH
     toTarget ! me;
#endif
     if
     :: fromTarget[me] ? done ->
        if
        :: done -> skip
        :: else -> tellNotRun()
        fi
     :: true -> /* time-out */
#ifdef NOT_RUN_ON_TIMEOUT
        tellNotRun()
#else
        skip /* "outcome unknown" */
#endif
     fi
  :: else -> break
  od
}
