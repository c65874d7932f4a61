/*
 * The replicated log, reduced to one entry that term 1's leader commits, and
 * the election of later terms. One disk is lost and its voter replaced, and
 * memory that was not synced is lost in crashes.
 *
 * Slots 0 to 2 are the voters at first. A lost disk comes back as slot 3, a
 * learner, which an entry makes a voter in place of the lost one. Another
 * voter may crash at any time.
 *
 * Promises: once the entry is committed, every leader elected has it; no term
 * has two leaders.
 *
 * Guards that can be taken out: SAME_VOTER (an empty disk goes on as the same
 * voter), EARLY_PROMOTION (a learner is promoted before it has caught up),
 * UNSYNCED_PROMOTION (or before that is synced), ACK_BEFORE_SYNC,
 * VOTE_BEFORE_SYNC, NO_LOG_CHECK (a vote for a candidate that lacks entries).
 */
#define S 4
#define TERMS 3

bool has[S], synced[S];		/* the entry, in memory and on disk */
bool acked[S];
byte voted[S], votedSynced[S];	/* last term voted in, in memory and on disk */
byte votedFor[S];
bool lost[S];			/* the slot's disk is gone for good */
bool committed, promoted;
bool diskLost;
byte lostSlot;
byte crashes;
byte votes[S];			/* bit set of who voted for the candidate */
byte standsIn[S];		/* the term that a slot is candidate in */
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

/* The set of voters as bits. */
byte voters = 7;

#define B(m, i) (((m) >> (i)) & 1)
#define COUNT(m) (B(m, 0) + B(m, 1) + B(m, 2) + B(m, 3))
#define ACKS ((acked[0] << 0) | (acked[1] << 1) | (acked[2] << 2) | (acked[3] << 3))
#define SYNCED ((synced[0] << 0) | (synced[1] << 1) | (synced[2] << 2) | (synced[3] << 3))

proctype Slot(byte me) {
	byte c;
	do
	/* Term 1's leader replicates, until a later term is known of here. */
	:: atomic { leader[1] && !lost[me] && !has[me] && voted[me] <= 1 && (me < 3 || diskLost) -> has[me] = true }
	:: atomic { has[me] && !synced[me] -> synced[me] = true }
#ifdef ACK_BEFORE_SYNC
	:: atomic { has[me] && voted[me] <= 1 && B(voters, me) -> acked[me] = true }
#else
	:: atomic { synced[me] && voted[me] <= 1 && B(voters, me) -> acked[me] = true }
#endif
	:: atomic { votedSynced[me] != voted[me] -> votedSynced[me] = voted[me] }
	/* Stand for election in a new term. */
	:: atomic { B(voters, me) && !lost[me] && voted[me] < TERMS ->
		voted[me] = (voted[me] < 1 -> 2 : voted[me] + 1);
		votedSynced[me] = voted[me];
		standsIn[me] = voted[me];
		votes[me] = 1 << me }
	/* Vote for another; a vote is answered once it is synced. */
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
	/* Crash: what was not synced is gone. */
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
	/* The learner replaces it. The entry that says so is committed by a
	   majority of the voters before, while term 1's leader leads; its
	   followers have whatever they acknowledged. */
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
