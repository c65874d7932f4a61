/*
 * One replica changes its owner: the leader revokes, waits, assigns. The
 * former owner acts while it is fresh. That a majority asked after the
 * revocation became visible knows of it is what witness.pml shows; here it is
 * one variable. Time goes in ticks, and the former owner's clock may fall
 * behind by DRIFT.
 *
 * Promises: the former owner writes nothing once the next one acts; a replica
 * that honours the fence accepts nothing of the former owner after something
 * of the next; the next owner never evicts an adapter that is still in use.
 *
 * Guards that can be taken out: NO_WAIT, NO_MARGIN, FROM_ANSWER, NO_CHECK,
 * NO_FENCE, OLD_REPORT.
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
bool inUse;		/* the adapter, by a request of the former owner */
bool late;		/* an order of the former owner is under way */
byte report;		/* 0 none, 1 idle made before, 2 idle made after takeover */

active proctype Clock() {
	do
	:: atomic { now < END -> now++; ownerClock++ }
	:: atomic { now < END && now - ownerClock < DRIFT -> now++ }
	od
}

active proctype Leader() {
	atomic { revoked = true; revokedAt = now };
	/* One tick more, since the revocation may fall at the end of a tick. */
	atomic { now > revokedAt + WAIT -> assigned = true }
}

active proctype Former() {
	byte until = FRESH, asked;
	bool answer, decided, stopped;
	do
	/* Ask a majority; its answer is true to the moment it is given. */
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
	/* Decide on an order. The process may be frozen for any time then. */
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
	/* An order of the former owner arrives whenever it likes. */
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
	/* Reports lag: one made now may arrive much later. */
	:: atomic { !inUse && report == 0 && !nextActs -> report = 1 }
	:: atomic { !inUse && nextActs && highestFence > 1 -> report = 2 }
	od
}

active proctype Next() {
	atomic { assigned -> nextActs = true };
	atomic { highestFence = 2 };	/* its first order carries the new fence */
#ifdef OLD_REPORT
	atomic { report >= 1 -> assert(!inUse) }
#else
	atomic { report == 2 -> assert(!inUse) }
#endif
}
