/* The document, start permits and a data centre that is taken out of service:
 * two entries, one agent, and a store that one entry may be partitioned from.
 *
 * Properties: no task starts in that data centre once the change was answered
 * as "in force"; a revision never decreases. Each of these mutations must
 * violate a property:
 *   -DSTALE_GRANT      an entry grants permits without a recent store read
 *   -DOLD_REVISION     the agent starts tasks under a permit of any revision
 *   -DFORGET_GRANTORS  "in force" does not wait for unreachable entries
 */
#define ENTRIES 2
#define FRESHNESS_LIMIT 1
#define PERMIT_DURATION 1
#define OUTAGE_HORIZON 2
#define END_TIME 7

#ifdef OLD_REVISION
#define MAY_START true
#else
#define MAY_START (permitRevision == agentRevision)
#endif
#ifdef FORGET_GRANTORS
#define OTHERS_CONFIRMED true
#else
#define OTHERS_CONFIRMED \
  ((seenRevision[1] == 2 && (agentRevision == 2 || grantsEnd[1] <= now)) || \
   (partitioned[1] && now > committedAt + OUTAGE_HORIZON + PERMIT_DURATION))
#endif

byte now = 0;
byte revision = 1;               /* in the store; 2: data centre taken out */
byte seenRevision[ENTRIES] = 1;  /* revision that each entry has read */
byte lastReadAt[ENTRIES];        /* when each entry last read the store */
bool partitioned[ENTRIES];       /* whether an entry can't reach the store */
byte agentRevision = 1;
byte permitRevision = 0;
byte permitUntil = 0;
byte grantsEnd[ENTRIES];         /* end of the last permit of each entry */
byte committedAt = 0;
bool inForce = false;

active proctype Clock() {
  do
  :: d_step { now < END_TIME -> now++ }
  :: now >= END_TIME -> break
  od
}

active [ENTRIES] proctype Entry() {
  byte me = _pid - 1;
  do
  /* Read the store. */
  :: atomic { !partitioned[me] ->
       assert(revision >= seenRevision[me]);
       seenRevision[me] = revision;
       lastReadAt[me] = now }
  /* The second entry may be partitioned from the store. */
  :: atomic { me == 1 && !partitioned[me] -> partitioned[me] = true }
  /* Answer a heartbeat with a permit. */
  :: atomic {
#ifndef STALE_GRANT
       (now <= lastReadAt[me] + FRESHNESS_LIMIT) ||
         (partitioned[me] && now <= lastReadAt[me] + OUTAGE_HORIZON);
#endif
       /* A valid permit of a newer revision is kept. */
       if
       :: seenRevision[me] >= permitRevision || permitUntil <= now ->
          permitRevision = seenRevision[me];
          permitUntil = now + PERMIT_DURATION
       :: else -> skip
       fi;
       grantsEnd[me] = now + PERMIT_DURATION;
       if
       :: seenRevision[me] > agentRevision -> agentRevision = seenRevision[me]
       :: else -> skip
       fi }
  :: now >= END_TIME -> break
  od
}

active proctype Agent() {
  do
  /* Start a task in the data centre that revision 2 takes out of service: only
   * under a permit of the revision that the agent knows. */
  :: atomic { permitUntil > now && permitRevision == 1 && MAY_START ->
       assert(!inForce) }
  :: now >= END_TIME -> break
  od
}

active proctype Operator() {
  atomic { now > 1 -> revision = 2; committedAt = now };
  do
  /* The first entry answers "in force" once the agent has confirmed or the
   * entry's own permits under the old revision have ended, and the same is
   * known of every entry that may still be granting permits. */
  :: atomic { seenRevision[0] == 2 &&
         (agentRevision == 2 || grantsEnd[0] <= now) &&
         OTHERS_CONFIRMED ->
       inForce = true; break }
  :: now >= END_TIME -> break
  od
}
