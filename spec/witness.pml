/*
 * The visibility quorum of one entry: three witnesses that may restart and lose
 * their memory, a daemon that counts their acknowledgements, and a daemon that
 * asks them for what is visible.
 *
 * Property: once the entry has been counted as visible, no daemon that asks a
 * majority after that becomes fresh without the entry, and no witness completes
 * its recovery without it.
 *
 * Guards that can be removed: NO_RECOVERY (a restarted witness is active at
 * once), FEWER (recovery asks only one other witness), LAZY_NOTE (a witness that is
 * asked does not note the new incarnation before it answers), NO_VECTOR (known
 * incarnations are ignored when acknowledgements are counted), NO_SELF (the
 * incarnation of the witness that answers is not merged), NOT_STANDING
 * (witnesses that are not active answer, too), OLD_READ (a read that makes a
 * witness active may miss the entry), NO_FLOOR (acknowledgements count also if
 * the witness may have forgotten incarnations).
 */
#define N 3
#ifndef RESTARTS
#define RESTARTS 2
#endif

bool committed, visible;
bool has[N], standing[N];
byte inc[N], restarts;
byte known[N * N];		/* known[i*N+j]: latest incarnation of j that i knows */
#define K(i, j) known[(i) * N + (j)]

/*
 * True for a witness that became active through a read after the commit, or
 * recovered from such a witness. It may lack incarnations that are needed to
 * refute older acknowledgements, so its own do not count for the entry.
 */
bool below[N];

/* The last acknowledgement of each witness that the counter has received. */
bool acked[N], ackBelow[N];
byte ackInc[N], ackKnown[N * N];

/* The witnesses that have answered a recovering witness, as a bit set. */
byte heard[N];
bool visibleBefore[N];

#ifdef NO_VECTOR
#define CURRENT(i, j) true
#else
/* The acknowledgement of i is not refuted by that of j. */
#define CURRENT(i, j) (ackInc[i] >= ackKnown[(j) * N + (i)])
#endif
#ifdef NO_FLOOR
#define COUNTS(i) acked[i]
#else
#define COUNTS(i) (acked[i] && !ackBelow[i])
#endif
#define PAIR(i, j) (COUNTS(i) && COUNTS(j) && CURRENT(i, j) && CURRENT(j, i))

/* Recovery needs n - m + 1 of the others, which is both of them. */
#ifdef FEWER
#define COVERED(me) (heard[me] != 0)
#else
#define COVERED(me) ((heard[me] | (1 << me)) == 7)
#endif

#define RAISE(a, b) a = (b > a -> b : a)

/* Merge the incarnations that from knows, including its own, into those of to. */
inline merge(to, from) {
#ifndef NO_SELF
	RAISE(K(to, from), K(from, from));
#endif
	RAISE(K(to, (from + 1) % N), K(from, (from + 1) % N));
	RAISE(K(to, (from + 2) % N), K(from, (from + 2) % N))
}

inline ask(me, j) {
	heard[me] = heard[me] | (1 << j);
#ifndef LAZY_NOTE
	K(j, me) = inc[me];		/* j notes the incarnation before it answers */
#endif
	merge(me, j);
	below[me] = below[me] || below[j];
	has[me] = has[me] || has[j]
}

proctype Witness(byte me) {
	byte a = (me + 1) % N, b = (me + 2) % N;
	do
	:: d_step { committed && !has[me] -> has[me] = true }
	:: d_step { standing[me] && has[me] && !(acked[me] && ackInc[me] == inc[me] &&
		ackKnown[me * N + a] == K(me, a) && ackKnown[me * N + b] == K(me, b)) ->
		acked[me] = true;
		ackInc[me] = inc[me];
		ackBelow[me] = below[me];
		ackKnown[me * N + me] = inc[me];
		ackKnown[me * N + a] = K(me, a);
		ackKnown[me * N + b] = K(me, b) }
	:: d_step { restarts < RESTARTS ->
		restarts++;
		inc[me]++;
		has[me] = false; standing[me] = false; below[me] = false;
		heard[me] = 0;
		visibleBefore[me] = visible;
		K(me, a) = 0; K(me, b) = 0;
		K(me, me) = inc[me] }
	:: d_step { !standing[me] && standing[a] && !(heard[me] & (1 << a)) -> ask(me, a) }
	:: d_step { !standing[me] && standing[b] && !(heard[me] & (1 << b)) -> ask(me, b) }
	:: d_step { !standing[me] && COVERED(me) ->
		standing[me] = true; heard[me] = 0;
		assert(!(visibleBefore[me] && !has[me]));
		visibleBefore[me] = false }
#ifdef NO_RECOVERY
	:: d_step { !standing[me] -> standing[me] = true; heard[me] = 0 }
#endif
	/* A linearizable read through the voters. */
	:: d_step { !standing[me] ->
		standing[me] = true; heard[me] = 0; visibleBefore[me] = false;
#ifndef OLD_READ
		has[me] = committed;
		below[me] = committed
#endif
		}
	od
}

active proctype Counter() {
	committed = true;
	d_step { PAIR(0, 1) || PAIR(0, 2) || PAIR(1, 2) -> visible = true }
}

active proctype Reader() {
	byte asked, first;
	visible ->
#ifdef NOT_STANDING
#define ANSWERS(j) (!has[j])
#else
#define ANSWERS(j) (standing[j] && !has[j])
#endif
	/* It is an error if two witnesses answer and neither knows the entry. */
	if
	:: d_step { ANSWERS(0) -> first = 0 }
	:: d_step { ANSWERS(1) -> first = 1 }
	:: d_step { ANSWERS(2) -> first = 2 }
	fi;
	if
	:: d_step { first != 0 && ANSWERS(0) -> assert(false) }
	:: d_step { first != 1 && ANSWERS(1) -> assert(false) }
	:: d_step { first != 2 && ANSWERS(2) -> assert(false) }
	fi
}

init {
	atomic {
		standing[0] = true; standing[1] = true; standing[2] = true;
		run Witness(0); run Witness(1); run Witness(2)
	}
}
