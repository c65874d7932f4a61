/*
 * The placer role passes from one daemon to another, and back. The placer acts
 * under a lease, which each read through the leader renews. The leader commits
 * a retirement, waits, and appoints the next placer. A placer that stops may
 * resign instead, once none of its orders is in transit; then the leader does
 * not have to wait. Time passes in ticks. The clock of the former placer may lag
 * by up to DRIFT ticks. A read that is answered after the retirement shows it.
 *
 * The leader may change while it waits. The next leader knows only when it has
 * applied the retirement itself.
 *
 * Properties, so that replicas that ignore fencing numbers never see two
 * competing placers: the next placer sends no order before the last order of
 * the former one has arrived. A former placer that gets the role back after the
 * next one sends no order within RIVAL ticks of its own last order.
 *
 * Guards that can be removed: NO_WAIT (appoint without a wait), SHORT_WAIT (the
 * wait covers only clock drift), FROM_ANSWER (the lease counts from the answer
 * instead of the question), NO_LEASE (the placer ignores its lease),
 * FROM_PROPOSAL (the wait counts from the proposal of the retirement instead of
 * its commit), RESIGN_EARLY (resign while an order may be in transit),
 * BACK_EARLY (the role may come back without a further wait of RIVAL ticks).
 */
#define LEASE 2
#define RIVAL 5
#define DRIFT 1
#define WAY 1		/* maximum transit time of an order */
#define END 13
#if defined(NO_WAIT)
#define WAIT 0
#elif defined(SHORT_WAIT)
#define WAIT DRIFT
#else
#define WAIT (LEASE + DRIFT + WAY)
#endif
#ifdef BACK_EARLY
#define BACK WAIT
#else
#define BACK (WAIT + RIVAL)
#endif

byte now, formerClock;
bool proposed, retired;	/* the retirement: proposed; committed and applied */
bool resigned;		/* the placer has resigned itself */
byte since;		/* start of the wait of the leader */
bool appointed;
bool gave;		/* the former placer has sent an order */
byte last;		/* time of its last order */

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
	/* The placer may have resigned first. */
	atomic {
		if
		:: retired
		:: !retired -> retired = true;
#ifndef FROM_PROPOSAL
			since = now
#endif
		fi
	};
	/* Wait one tick more, since the retirement may be at the end of a tick. */
	atomic { resigned || now > since + WAIT -> appointed = true }
}

/* A later leader, which has applied the retirement later, may also appoint. */
active proctype NextLeader() {
	byte applied;
	atomic { retired -> applied = now };
	atomic { resigned || now > applied + WAIT -> appointed = true }
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
	/* The placer stops and sends no further order. */
	:: atomic { !stopped -> stopped = true };
#ifndef RESIGN_EARLY
		(!gave || now > last + WAY);
#endif
		atomic {
			if
			:: !retired -> retired = true; resigned = true; since = now
			:: else
			fi
		}
	od
}

active proctype Next() {
	atomic {
		appointed;
		assert(!gave || now >= last + WAY)
	};
	/* The former placer must not send an order after the appointment either. */
	do
	:: atomic { gave && last > now - WAY && appointed && !resigned && last > since + WAIT -> assert(false) }
	:: atomic { now > since + BACK -> assert(!gave || now - last >= RIVAL); break }
	od
}
