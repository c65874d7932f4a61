/*
 * Changes of the set of witnesses: three sets of three out of five daemons.
 * Entries 1 and 2 change the set; entry 3 is any change of the configuration.
 *
 * Property: a daemon that becomes fresh has applied all that was visible when it
 * asked, whichever set it started with.
 *
 * Guards that can be removed: ONLY_NEW (the new set alone counts at once),
 * EARLY_NEXT (the next change does not wait until the previous one is visible),
 * IGNORE_NEED (a round counts although an answer named an entry that is not
 * applied yet).
 */
#define D 5
#define ENTRIES 3
byte applied[D];
byte committed, visible;

byte readerApplied, readerVisible;

/* Set s consists of the daemons s, s+1 and s+2. */
#define IN(s, d) ((d) >= (s) && (d) <= (s) + 2)
/* The newest set after the entry at an index. */
#define SET(index) ((index) < 2 -> (index) : 2)

#define HAVE(s, index) ((applied[s] >= index) + (applied[(s) + 1] >= index) + (applied[(s) + 2] >= index) >= 2)
#define BIT(m, d) (((m) >> (d)) & 1)
#define ANSWERED(m, s) (BIT(m, s) + BIT(m, (s) + 1) + BIT(m, (s) + 2) >= 2)

#ifdef ONLY_NEW
#define JOINT(index, vis) 0
#else
/* The previous set must also answer until the change is known to be visible. */
#define JOINT(index, vis) ((index) > 0 && (vis) < SET(index))
#endif

active proctype Leader() {
	do
	/* The two changes of the set are entries 1 and 2. */
#ifdef EARLY_NEXT
	:: atomic { committed < ENTRIES -> committed++ }
#else
	:: atomic { committed < ENTRIES && visible >= SET(committed) -> committed++ }
#endif
	/* The leader has applied all committed entries and counts who else has. */
	:: atomic { visible < committed && HAVE(SET(committed), committed) &&
		(!JOINT(committed, visible) || HAVE(SET(committed) - 1, committed)) ->
		visible = committed }
	od
}

active [D] proctype Daemon() {
	do
	:: atomic { applied[_pid - 1] < committed -> applied[_pid - 1]++ }
	od
}

active proctype Reader() {
	byte before, need, answered, j;
	do
	:: atomic { before = visible; need = 0; answered = 0 };
		do
		:: atomic {
			if
			:: j = 0
			:: j = 1
			:: j = 2
			:: j = 3
			:: j = 4
			fi;
			if
			:: !BIT(answered, j) ->
				answered = answered | (1 << j);
				need = (applied[j] > need -> applied[j] : need)
			:: else
			fi;
			j = 0 }
		/* Fetch and apply an entry that an answer has named. */
		:: atomic { readerApplied < need -> readerApplied++ }
		/* Receive from another daemon what is visible. */
		:: atomic { readerVisible < visible && visible <= readerApplied -> readerVisible = visible }
#ifdef IGNORE_NEED
		:: atomic { ANSWERED(answered, SET(readerApplied)) &&
#else
		:: atomic { readerApplied >= need && ANSWERED(answered, SET(readerApplied)) &&
#endif
			(!JOINT(readerApplied, readerVisible) || ANSWERED(answered, SET(readerApplied) - 1)) ->
			assert(before <= readerApplied);
			break }
		:: break
		od
	od
}
