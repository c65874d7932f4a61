/*
 * A replica changes its owner: the leader revokes the ownership, waits, and
 * assigns the next owner. The former owner acts only while it is fresh, which
 * is for FRESH ticks after it asked a majority of the witnesses. witness.pml
 * shows that a majority that is asked after the revocation became visible
 * knows of it; here that is one variable. Time passes in ticks. The clock of
 * the former owner may lag by up to DRIFT ticks.
 *
 * Properties: the former owner sends no order once the next owner acts. A
 * replica that honours fencing numbers accepts no order of the former owner
 * after one of the next owner. The next owner never evicts an adapter that is
 * in use.
 *
 * Guards that can be removed: NO_WAIT (assign without a wait), NO_MARGIN (wait
 * without allowing for clock drift), FROM_ANSWER (freshness counts from the
 * answer instead of the question), NO_CHECK (freshness is not checked again
 * before sending), NO_FENCE (the replica ignores fencing numbers), OLD_REPORT
 * (an idle report from before the takeover is trusted).
 */
#define FRESH 2
#define DRIFT 1
#define END 8
#if defined(NO_WAIT)
#define WAIT 0
#elif defined(NO_MARGIN)
#define WAIT FRESH
#else
#define WAIT (FRESH + DRIFT)
#endif

byte now, ownerClock;
bool revoked;		/* visible to a majority of witnesses */
byte revokedAt;
bool assigned, nextActs;
byte highestFence;	/* of the orders that the replica accepted */
bool inUse;		/* the adapter is used by a request of the former owner */
bool late;		/* an order of the former owner is in transit */
byte report;		/* idle report: 0 none, 1 from before the takeover, 2 from after it */

active proctype Clock() {
	do
	:: atomic { now < END -> now++; ownerClock++ }
	:: atomic { now < END && now - ownerClock < DRIFT -> now++ }
	od
}

active proctype Leader() {
	atomic { revoked = true; revokedAt = now };
	/* Wait one tick more, since the revocation may be at the end of a tick. */
	atomic { now > revokedAt + WAIT -> assigned = true }
}

active proctype Former() {
	byte until = FRESH, asked;
	bool answer, decided, stopped;
	do
	/* Ask a majority. The answer is correct at the time it is given. */
	:: !stopped -> atomic { asked = ownerClock };
		atomic { answer = revoked };
		atomic {
			if
			:: answer -> stopped = true
#ifdef FROM_ANSWER
			:: else -> until = ownerClock + FRESH
#else
			:: else -> until = asked + FRESH
#endif
			fi }
	/* Decide on an order. The process may be suspended here for any time. */
	:: atomic { !decided && !stopped && ownerClock <= until -> decided = true }
	:: atomic { decided ->
		decided = false;
		if
#ifdef NO_CHECK
		:: true ->
#else
		:: ownerClock <= until ->
#endif
			assert(!nextActs);
			late = true
		:: else
		fi }
	od
}

active proctype Replica() {
	do
	/* An order of the former owner arrives at any time. */
	:: atomic { late ->
		late = false;
		if
#ifndef NO_FENCE
		:: highestFence > 1 -> skip
		:: else ->
#else
		:: true ->
#endif
			assert(highestFence <= 1);
			highestFence = 1;
			inUse = true
		fi }
	:: atomic { inUse -> inUse = false }
	/* A report made now may arrive much later. */
	:: atomic { !inUse && report == 0 && !nextActs -> report = 1 }
	:: atomic { !inUse && nextActs && highestFence > 1 -> report = 2 }
	od
}

active proctype Next() {
	atomic { assigned -> nextActs = true };
	atomic { highestFence = 2 };	/* its first order carries the new fencing number */
#ifdef OLD_REPORT
	atomic { report >= 1 -> assert(!inUse) }
#else
	atomic { report == 2 -> assert(!inUse) }
#endif
}
