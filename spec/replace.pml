/*
 * The replacement of a voter by a daemon with its name and another disk. The
 * leader of term 1 writes three entries: one that removes slot 1, one that
 * promotes slot 3, and one that is acknowledged to a client. Later terms only
 * elect leaders.
 *
 * Slots 0 to 2 are the initial voters, slot 3 is the learner. A slot may do
 * nothing more at any time, as if its disk were lost; what it has sent may be
 * counted later. The leader begins at any time, also while slot 1 works: the
 * word of another process of that name may be wrong, and so may silence.
 *
 * Properties: a leader that is elected has every committed entry. No term has
 * two leaders.
 *
 * Guards that can be removed: ONE_STEP (one entry both removes and promotes),
 * NOT_COMMITTED (the promotion is written before the removal is committed),
 * NO_LOG_CHECK (a voter votes for a candidate that lacks entries).
 */
#define S 4
#define TERMS 3
#define ENTRIES 3

byte has[S];			/* entries in the log, synced and acknowledged */
byte voted[S];			/* last term voted in */
byte standsIn[S];		/* the term in which the slot is a candidate */
byte votes[S];			/* bit set of the voters for the candidate */
byte committed;			/* entries that the leader of term 1 has committed */
byte leader[TERMS + 1];		/* 1 + slot of the leader, 0 if none */

/* The voters with n entries, as a bit set. */
#ifdef ONE_STEP
#define VOTERS(n) ((n) == 0 -> 7 : 13)
#else
#define VOTERS(n) ((n) == 0 -> 7 : ((n) == 1 -> 5 : 13))
#endif
#ifdef NOT_COMMITTED
#define MAY_WRITE (has[0] < ENTRIES)
#else
#define MAY_WRITE (has[0] < ENTRIES && (has[0] != 1 || committed >= 1))
#endif
#ifdef NO_LOG_CHECK
#define UP_TO_DATE(c, me) true
#else
#define UP_TO_DATE(c, me) (has[c] >= has[me])
#endif

#define B(m, i) (((m) >> (i)) & 1)
#define COUNT(m) (B(m, 0) + B(m, 1) + B(m, 2) + B(m, 3))
#define MAJORITY(m, vs) (COUNT((m) & (vs)) * 2 > COUNT(vs))
#define ACKS(n) ((has[0] >= n) | ((has[1] >= n) << 1) | ((has[2] >= n) << 2) | ((has[3] >= n) << 3))
#define LEADS (voted[0] <= 1)	/* slot 0 still leads term 1 */

proctype Slot(byte me) {
	byte c;
	do
	:: atomic { me == 0 && LEADS && MAY_WRITE -> has[0]++ }
	/* The leader of term 1 replicates until this slot knows a later term. */
	:: atomic { me != 0 && voted[me] <= 1 && has[me] < has[0] && LEADS -> has[me]++ }
	/* Become a candidate in a new term. */
	:: atomic { B(VOTERS(has[me]), me) && voted[me] < TERMS ->
		voted[me] = (voted[me] < 1 -> 2 : voted[me] + 1);
		standsIn[me] = voted[me];
		votes[me] = 1 << me }
	:: atomic { true ->
		if
		:: c = 0
		:: c = 1
		:: c = 2
		:: c = 3
		fi;
		if
		:: c != me && standsIn[c] > voted[me] && UP_TO_DATE(c, me) ->
			voted[me] = standsIn[c];
			votes[c] = votes[c] | (1 << me)
		:: else
		fi;
		c = 0 }
	:: atomic { standsIn[me] && voted[me] == standsIn[me] && leader[standsIn[me]] != me + 1 && MAJORITY(votes[me], VOTERS(has[me])) ->
		assert(!leader[standsIn[me]]);
		assert(has[me] >= committed);
		leader[standsIn[me]] = me + 1 }
	od
}

proctype Commit() {
	do
	:: atomic { LEADS && committed < has[0] && MAJORITY(ACKS(committed + 1), VOTERS(has[0])) -> committed++ }
	od
}

init {
	atomic {
		leader[1] = 1;
		run Slot(0); run Slot(1); run Slot(2); run Slot(3);
		run Commit()
	}
}
