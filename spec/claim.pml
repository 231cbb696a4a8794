/* Claims of idempotency keys: one shard, two entries that may both believe they
 * own it, one target and one key, with lost answers, lease expiry and retries.
 *
 * Properties: the request runs at most once; "not run" is reported only for a
 * request that has not run and never will. Each of these mutations must violate
 * a property:
 *   -DCLAIM_AFTER_DISPATCH   the claim is written after the dispatch
 *   -DLEASE_ALONE            a write is guarded by the lease only, without the
 *                            compare-and-swap
 *   -DNOT_RUN_ON_TIMEOUT     a time-out is reported as "not run"
 */
#define ENTRIES 2
#define MAX_ATTEMPTS 2

byte epoch = 0;              /* epoch in the shard's head record */
bool claimed = false;        /* the ledger holds a claim of the key */
byte leaseHolder = 255;      /* entry that holds the store lease; 255: none */
byte executions = 0;         /* times the target ran the request */
bool reportedNotRun = false; /* a caller was answered "not run" */

chan toTarget = [2] of { byte };
chan fromTarget[ENTRIES] = [2] of { bool }; /* true: ran, false: refused */

/* The lease may expire at any time, since its holder may be paused. */
active proctype Lease() {
  byte expirations = 0;
  do
  :: atomic { leaseHolder != 255 && expirations < 2 ->
       leaseHolder = 255; expirations++ }
  :: expirations >= 2 -> break
  :: timeout -> break
  od
}

active proctype Target() {
  byte sender;
end:
  do
  :: atomic {
       toTarget ? sender ->
       if
       :: executions++; assert(executions <= 1); assert(!reportedNotRun);
          fromTarget[sender] ! true
       :: fromTarget[sender] ! false
       fi
     }
  od
}

inline reportNotRun() {
  atomic { assert(executions == 0); reportedNotRun = true }
}

active [ENTRIES] proctype Entry() {
  byte myEpoch = 0; /* epoch under which this entry writes; 0: not the owner */
  byte attempts = 0;
  bool executed;
  bool committed;
  bool claimKnown;
  byte me = _pid - 2;
retry:
  do
  :: attempts < MAX_ATTEMPTS ->
     attempts++;
     /* Acquire the shard if no entry holds the lease. */
     if
     :: atomic { leaseHolder == 255 && myEpoch == 0 ->
          leaseHolder = me; epoch++; myEpoch = epoch }
     :: else -> skip
     fi;
     /* An entry that is not the owner answers "key not checked". */
     if
     :: myEpoch == 0 -> goto retry
     :: else -> skip
     fi;
     /* The ledger as read when this entry acquired the shard, with the entry's
      * own later writes. */
     claimKnown = claimed;
     /* Answers the first outcome or "unknown", never "not run". */
     if
     :: claimKnown -> goto retry
     :: else -> skip
     fi;
#ifdef CLAIM_AFTER_DISPATCH
     toTarget ! me;
#endif
     /* Compare-and-swap; after a lost answer the outcome is read back. */
     atomic {
#ifdef LEASE_ALONE
       committed = true; claimed = true
#else
       committed = (epoch == myEpoch && !claimed);
       if
       :: committed -> claimed = true
       :: else -> myEpoch = 0
       fi
#endif
     };
     if
     :: !committed -> goto retry
     :: else -> skip
     fi;
#ifndef CLAIM_AFTER_DISPATCH
     toTarget ! me;
#endif
     if
     :: fromTarget[me] ? executed ->
        if
        :: executed -> skip
        :: else -> reportNotRun()
        fi
     :: true -> /* time-out */
#ifdef NOT_RUN_ON_TIMEOUT
        reportNotRun()
#else
        skip /* "outcome unknown" */
#endif
     fi
  :: else -> break
  od
}
