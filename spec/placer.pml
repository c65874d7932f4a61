/*
 * The office of the placer passes from one daemon to another. The placer acts
 * on a lease that it takes from reads through the leader; the leader commits a
 * retirement, waits, and appoints the next. Time goes in ticks, and the former
 * placer's clock may fall behind by DRIFT. A read that is answered after the
 * retirement shows it.
 *
 * The leader may change while it waits: the next one knows only when it applied
 * the retirement.
 *
 * Promise: the next placer gives no order within RIVAL ticks of the last order
 * of the former one, so that replicas that ignore fencing numbers never take
 * the two for rivals.
 *
 * Guards that can be taken out: NO_WAIT, LEASE_ONLY, FROM_ANSWER,
 * NO_LEASE, FROM_PROPOSAL.
 */
#define LEASE 2
#define RIVAL 3
#define DRIFT 1
#define END 12
#if defined(NO_WAIT)
#define WAIT 0
#elif defined(LEASE_ONLY)
#define WAIT (LEASE + DRIFT)
#else
#define WAIT (LEASE + RIVAL + DRIFT)
#endif

byte now, formerClock;
bool proposed, retired;	/* the retirement: on its way, committed and applied */
byte since;		/* what the leader counts its wait from */
bool appointed;
bool gave;		/* the former placer has given an order */
byte last;		/* when it gave the last one */

active proctype Clock() {
	do
	:: atomic { now < END -> now++; formerClock++ }
	:: atomic { now < END && now - formerClock < DRIFT -> now++ }
	od
}

active proctype Leader() {
	atomic { proposed = true;
#ifdef FROM_PROPOSAL
		since = now
#endif
	};
	atomic { retired = true;
#ifndef FROM_PROPOSAL
		since = now
#endif
	};
	/* One tick more, since the retirement may fall at the end of a tick. */
	atomic { now > since + WAIT -> appointed = true }
}

/* Another leader that has applied the retirement later may appoint, too. */
active proctype NextLeader() {
	byte applied;
	atomic { retired -> applied = now };
	atomic { now > applied + WAIT -> appointed = true }
}

active proctype Former() {
	byte until = LEASE, asked;
	bool answer, stopped;
	do
	:: !stopped -> atomic { asked = formerClock };
		atomic { answer = retired };
		atomic {
			if
			:: answer -> stopped = true
#ifdef FROM_ANSWER
			:: else -> until = formerClock + LEASE
#else
			:: else -> until = asked + LEASE
#endif
			fi
		}
#ifdef NO_LEASE
	:: atomic { !stopped -> gave = true; last = now }
#else
	:: atomic { !stopped && formerClock < until -> gave = true; last = now }
#endif
	od
}

active proctype Next() {
	atomic {
		appointed;
		assert(!gave || now - last >= RIVAL)
	};
	/* The former one must not order afterwards either. */
	do
	:: atomic { gave && last > since + WAIT -> assert(false) }
	od
}
