/*
 * The ledger of non-idempotent requests: one key, two daemons that get it
 * from a caller who resends, crashes, and a log in which proposals arrive
 * late, twice or never. The log itself is one variable; log.pml is about it.
 *
 * Promises: the request runs at most once; told "not run", it has not run and
 * the attempt that was told so never runs it.
 *
 * Guards that can be taken out: NO_BEGIN (send before the begin is durable),
 * NO_ATTEMPT (a begin is granted by key alone), LATE_ABANDON (abandon after
 * sending), RESTART_RETRY (a restarted daemon tries its open attempt again),
 * NO_EXPIRY (an entry is dropped though its key is still accepted).
 */
#define ATTEMPTS 3
#ifdef NO_EXPIRY
#define ACCEPTED true
#else
#define ACCEPTED !expired
#endif
#if defined(NO_BEGIN)
#define GRANTED(a) true
#elif defined(NO_ATTEMPT)
#define GRANTED(a) (holder != NONE && !finished)
#else
#define GRANTED(a) (holder == a && !finished)
#endif
#ifdef LATE_ABANDON
#define MAY_ABANDON true
#else
#define MAY_ABANDON !sent
#endif
#define NONE 0

/* Replicated: which attempt holds the key; NONE if it is free. */
byte holder;
bool finished, dropped, expired;
/* Attempts that gave up; a late copy of their begin is refused. */
bool gaveUp[ATTEMPTS + 1];
byte lastAttempt;
byte runs;
bool toldNotRun[ATTEMPTS + 1];

/* Proposals under way: begin of an attempt; each may be applied repeatedly. */
bool proposed[ATTEMPTS + 1];

active proctype Log() {
	byte a;
	do
	:: atomic {
		if
		:: proposed[1] -> a = 1
		:: proposed[2] -> a = 2
		:: proposed[3] -> a = 3
		fi;
		if
		:: holder == NONE && !finished && !gaveUp[a] && ACCEPTED -> holder = a
		:: else
		fi;
		a = 0 }
	/* The deadline of the key passes; then its entry can go. */
	:: atomic { !expired -> expired = true }
#ifdef NO_EXPIRY
	:: atomic { expired && !dropped -> dropped = true; holder = NONE; finished = false }
#else
	:: atomic { expired && !dropped -> dropped = true; holder = NONE }
#endif
	od
}

active [2] proctype Daemon() {
	byte attempt;
	bool sent;
	do
	/* The caller sends the request here, again perhaps. */
	:: atomic { attempt == NONE && lastAttempt < ATTEMPTS ->
		lastAttempt++;
		attempt = lastAttempt;
		sent = false;
		proposed[attempt] = true }
	/* The begin is known to be granted: the first byte goes upstream. */
	:: atomic { attempt != NONE && !sent && GRANTED(attempt) ->
		sent = true;
		runs++;
		assert(runs <= 1);
		assert(!toldNotRun[attempt]) }
	/* The answer came: finish. */
	:: atomic { sent && holder == attempt -> finished = true; sent = false; attempt = NONE }
	/* Give up before anything was sent: abandon, then say so. */
	:: atomic { attempt != NONE && MAY_ABANDON ->
		gaveUp[attempt] = true;
		if
		:: holder == attempt -> holder = NONE
		:: else
		fi;
		toldNotRun[attempt] = true;
		sent = false;
		attempt = NONE }
	/* Crash. Whether something was sent is forgotten; the key stays held. */
#ifdef RESTART_RETRY
	:: atomic { attempt != NONE -> sent = false }
#else
	:: atomic { attempt != NONE -> sent = false; attempt = NONE }
#endif
	od
}
