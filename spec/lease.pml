/* Task leases, eviction and resumption: one task, two workers, and an owner
 * that rebinds the task, with lost messages. Time is a small counter; a worker
 * stops the task on its own when its lease has expired.
 *
 * Properties: the task runs on at most one worker at a time; each attempt
 * starts at most once. Each of these mutations must violate a property:
 *   -DNO_WAIT            the task is rebound before its lease has ended
 *   -DNEW_OWNER_NO_WAIT  a new owner does not wait until the outage horizon of
 *                        the previous owner has passed
 *   -DREVIVE             a queued task whose lease has expired may start
 */
#define WORKERS 2
#define LEASE_DURATION 2
#define OUTAGE_HORIZON 2
#define END_TIME 8

/* Whether an owner may unbind the task of an unreachable worker. */
#ifdef NO_WAIT
#define MAY_REBIND true
#else
#ifdef NEW_OWNER_NO_WAIT
#define MAY_REBIND (now > grantedUntil[owner])
#else
#define MAY_REBIND (now > grantedUntil[owner] && \
  (owner == 0 || now > acquiredAt + OUTAGE_HORIZON + LEASE_DURATION))
#endif
#endif

byte now = 0;
byte attempt = 0;              /* current attempt in the ledger */
byte boundWorker = 255;        /* worker of the task in the ledger; 255: none */
byte leaseUntil[WORKERS];      /* end of the lease that each worker holds */
byte queuedAttempt[WORKERS];   /* attempt queued on each worker; 0: none */
byte runningAttempt[WORKERS];  /* attempt running on each worker; 0: none */
byte lastStartedAttempt = 0;
byte grantedUntil[2];          /* latest lease end that each owner remembers */
byte owner = 0;
byte acquiredAt = 0;
/* The first owner can't reach the store but still renews leases. */
bool partitioned = false;

inline stopExpired() {
  if :: runningAttempt[0] != 0 && leaseUntil[0] <= now -> runningAttempt[0] = 0
     :: else -> skip
  fi;
  if :: runningAttempt[1] != 0 && leaseUntil[1] <= now -> runningAttempt[1] = 0
     :: else -> skip
  fi
#ifndef REVIVE
  ;
  if :: queuedAttempt[0] != 0 && leaseUntil[0] <= now -> queuedAttempt[0] = 0
     :: else -> skip
  fi;
  if :: queuedAttempt[1] != 0 && leaseUntil[1] <= now -> queuedAttempt[1] = 0
     :: else -> skip
  fi
#endif
}

active proctype Clock() {
  do
  :: d_step { now < END_TIME -> now++; stopExpired() }
  :: now >= END_TIME -> break
  od
}

/* A worker starts its queued attempt during its lease, possibly late. */
active [WORKERS] proctype Worker() {
  byte me = _pid - 1;
  do
  :: atomic { queuedAttempt[me] != 0 && leaseUntil[me] > now &&
         runningAttempt[me] == 0 ->
       assert(runningAttempt[1 - me] == 0);
       assert(queuedAttempt[me] > lastStartedAttempt);
       lastStartedAttempt = queuedAttempt[me];
       runningAttempt[me] = queuedAttempt[me];
       queuedAttempt[me] = 0 }
  :: now >= END_TIME -> break
  od
}

/* The owner renews the lease of the worker that the ledger names, if the
 * heartbeat arrives. A partitioned owner does so from its last read, until its
 * outage horizon has passed. */
inline renew(grantor, worker) {
  atomic {
    leaseUntil[worker] = now + LEASE_DURATION;
    if :: grantedUntil[grantor] < now + LEASE_DURATION ->
          grantedUntil[grantor] = now + LEASE_DURATION
       :: else -> skip
    fi
  }
}

active proctype OldOwner() {
  byte knownWorker = 255;
  byte partitionedAt = 0;
  do
  :: atomic { owner == 0 && !partitioned -> knownWorker = boundWorker;
       if :: knownWorker != 255 -> renew(0, knownWorker) :: else -> skip fi }
  :: atomic { owner == 0 && !partitioned && now > 1 ->
       partitioned = true; partitionedAt = now }
  :: atomic { partitioned && now < partitionedAt + OUTAGE_HORIZON &&
         knownWorker != 255 ->
       renew(0, knownWorker) }
  :: now >= END_TIME -> break
  od
}

active proctype Ledger() {
  do
  /* Another entry acquires the shard of a partitioned owner. */
  :: atomic { owner == 0 && partitioned -> owner = 1; acquiredAt = now }
  /* Bind the unbound task to a worker, which receives it with a lease. */
  :: atomic { boundWorker == 255 && attempt < 3 && now < END_TIME - 2 &&
         (owner == 1 || !partitioned) ->
       if :: boundWorker = 0 :: boundWorker = 1 fi;
       attempt++;
       queuedAttempt[boundWorker] = attempt;
       renew(owner, boundWorker) }
  /* The new owner renews the lease too, if the worker is reachable. */
  :: atomic { owner == 1 && boundWorker != 255 -> renew(1, boundWorker) }
  /* Unreachable worker: unbind the task once its lease has ended. */
  :: atomic { boundWorker != 255 && (owner == 1 || !partitioned) &&
         MAY_REBIND ->
       boundWorker = 255 }
  /* Eviction: the worker reports that it has stopped the task. */
  :: atomic { boundWorker != 255 && owner == 0 && !partitioned &&
         runningAttempt[boundWorker] != 0 ->
       runningAttempt[boundWorker] = 0; boundWorker = 255 }
  :: now >= END_TIME -> break
  od
}
