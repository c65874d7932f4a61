/*
 * The replicated log, reduced to one entry that the leader of term 1 commits,
 * and the leader elections of later terms. One disk is lost and its voter is
 * replaced. A crash loses what was not synced to disk.
 *
 * Slots 0 to 2 are the initial voters. A daemon with a lost disk comes back as
 * slot 3, a learner, which a log entry makes a voter in place of the lost one.
 * Slots whose disk is not lost may crash at any time, at most twice in total.
 *
 * Properties: once the entry is committed, every leader that is elected has
 * it. No term has two leaders.
 *
 * Guards that can be removed: SAME_VOTER (a daemon with an empty disk stays the
 * same voter), EARLY_PROMOTION (a learner is promoted before it has caught
 * up), UNSYNCED_PROMOTION (a learner is promoted before the entry is synced),
 * ACK_BEFORE_SYNC (an entry is acknowledged before it is synced),
 * VOTE_BEFORE_SYNC (a vote is sent before it is synced), NO_LOG_CHECK (a voter
 * votes for a candidate that lacks entries).
 */
#define S 4
#define TERMS 3

bool has[S], synced[S];		/* has the entry, in memory and on disk */
bool acked[S];
byte voted[S], votedSynced[S];	/* last term voted in, in memory and on disk */
byte votedFor[S];
bool lost[S];			/* the disk of the slot is lost permanently */
bool committed, promoted;
bool diskLost;
byte lostSlot;
byte crashes;
byte votes[S];			/* bit set of the voters for the candidate */
byte standsIn[S];		/* the term in which the slot is a candidate */
byte leader[TERMS + 1];		/* 1 + slot of the leader, 0 if none */

#ifdef NO_LOG_CHECK
#define UP_TO_DATE(c, me) true
#else
#define UP_TO_DATE(c, me) (has[c] || !has[me])
#endif
#if defined(EARLY_PROMOTION)
#define CAUGHT_UP true
#elif defined(UNSYNCED_PROMOTION)
#define CAUGHT_UP (!committed || has[3])
#else
#define CAUGHT_UP (!committed || synced[3])
#endif

/* The current voters as a bit set. */
byte voters = 7;

#define B(m, i) (((m) >> (i)) & 1)
#define COUNT(m) (B(m, 0) + B(m, 1) + B(m, 2) + B(m, 3))
#define ACKS ((acked[0] << 0) | (acked[1] << 1) | (acked[2] << 2) | (acked[3] << 3))
#define SYNCED ((synced[0] << 0) | (synced[1] << 1) | (synced[2] << 2) | (synced[3] << 3))

proctype Slot(byte me) {
	byte c;
	do
	/* The leader of term 1 replicates until this slot knows a later term. */
	:: atomic { leader[1] && !lost[me] && !has[me] && voted[me] <= 1 && (me < 3 || diskLost) -> has[me] = true }
	:: atomic { has[me] && !synced[me] -> synced[me] = true }
#ifdef ACK_BEFORE_SYNC
	:: atomic { has[me] && voted[me] <= 1 && B(voters, me) -> acked[me] = true }
#else
	:: atomic { synced[me] && voted[me] <= 1 && B(voters, me) -> acked[me] = true }
#endif
	:: atomic { votedSynced[me] != voted[me] -> votedSynced[me] = voted[me] }
	/* Become a candidate in a new term. */
	:: atomic { B(voters, me) && !lost[me] && voted[me] < TERMS ->
		voted[me] = (voted[me] < 1 -> 2 : voted[me] + 1);
		votedSynced[me] = voted[me];
		standsIn[me] = voted[me];
		votes[me] = 1 << me }
	/* Vote for another candidate; the vote is synced before it is sent. */
	:: atomic { B(voters, me) && !lost[me] ->
		if
		:: c = 0
		:: c = 1
		:: c = 2
		:: c = 3
		fi;
		if
		:: c != me && standsIn[c] > voted[me] && UP_TO_DATE(c, me) ->
			voted[me] = standsIn[c];
#ifndef VOTE_BEFORE_SYNC
			votedSynced[me] = voted[me];
#endif
			votes[c] = votes[c] | (1 << me)
		:: else
		fi;
		c = 0 }
	:: atomic { standsIn[me] && COUNT(votes[me] & voters) * 2 > COUNT(voters) && leader[standsIn[me]] != me + 1 ->
		assert(!leader[standsIn[me]]);
		assert(!(committed && !has[me]));
		leader[standsIn[me]] = me + 1 }
	/* Crash: what was not synced is lost. */
	:: atomic { crashes < 2 && !lost[me] ->
		crashes++;
		has[me] = synced[me];
		voted[me] = votedSynced[me];
		standsIn[me] = 0;
		votes[me] = 0 }
	od
}

proctype Control() {
	byte i;
	do
	:: atomic { !committed && COUNT(ACKS & voters) * 2 > COUNT(voters) -> committed = true }
	/* A disk is lost. */
	:: atomic { !diskLost ->
		diskLost = true;
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		lostSlot = i;
		has[i] = false; synced[i] = false;
		voted[i] = 0; votedSynced[i] = 0;
		standsIn[i] = 0; votes[i] = 0;
#ifndef SAME_VOTER
		lost[i] = true;
#endif
		i = 0 }
	/* The learner replaces the lost voter. A majority of the previous voters
	   commits this change while the leader of term 1 still leads; the
	   followers have all that they have acknowledged. */
#ifndef SAME_VOTER
	:: atomic { diskLost && !promoted && leader[1] && voted[0] <= 1 && voted[1] <= 1 && voted[2] <= 1 && CAUGHT_UP ->
		promoted = true;
		voters = (voters & ~(1 << lostSlot)) | 8 }
#endif
	od
}

init {
	atomic {
		leader[1] = 1;
		has[0] = true; synced[0] = true;
		run Slot(0); run Slot(1); run Slot(2); run Slot(3);
		run Control()
	}
}
