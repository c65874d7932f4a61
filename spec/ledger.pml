/*
 * The ledger of non-idempotent requests. One idempotency key reaches two
 * daemons, since the caller resends its request. Daemons may crash, and a
 * proposal may be applied late, several times or never. The log itself is a
 * single variable here; log.pml models it.
 *
 * Properties: the request runs at most once. If an attempt is answered with
 * "not run", the request has not run and that attempt never runs it.
 *
 * Guards that can be removed: NO_BEGIN (send before the begin is durable),
 * NO_ATTEMPT (a begin is granted for the key, whichever attempt holds it),
 * LATE_ABANDON (abandon after sending), RESTART_RETRY (a restarted daemon
 * retries its open attempt), NO_EXPIRY (an entry is dropped while its key is
 * still accepted).
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

/* Replicated state: the attempt that holds the key, NONE if it is free. */
byte holder;
bool finished, dropped, expired;
/* Attempts that were abandoned; a late copy of their begin is rejected. */
bool gaveUp[ATTEMPTS + 1];
byte lastAttempt;
byte runs;
bool toldNotRun[ATTEMPTS + 1];

/* Attempts whose begin was proposed; it may be applied at any time, repeatedly. */
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
	/* The key expires; after that its entry can be dropped. */
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
	/* The caller sends or resends the request to this daemon. */
	:: atomic { attempt == NONE && lastAttempt < ATTEMPTS ->
		lastAttempt++;
		attempt = lastAttempt;
		sent = false;
		proposed[attempt] = true }
	/* The begin is known to be granted: send the request upstream. */
	:: atomic { attempt != NONE && !sent && GRANTED(attempt) ->
		sent = true;
		runs++;
		assert(runs <= 1);
		assert(!toldNotRun[attempt]) }
	/* The answer has arrived: finish the attempt. */
	:: atomic { sent && holder == attempt -> finished = true; sent = false; attempt = NONE }
	/* Abandon the attempt before anything was sent, then answer "not run". */
	:: atomic { attempt != NONE && MAY_ABANDON ->
		gaveUp[attempt] = true;
		if
		:: holder == attempt -> holder = NONE
		:: else
		fi;
		toldNotRun[attempt] = true;
		sent = false;
		attempt = NONE }
	/* Crash: the daemon forgets whether it has sent; the key stays held. */
#ifdef RESTART_RETRY
	:: atomic { attempt != NONE -> sent = false }
#else
	:: atomic { attempt != NONE -> sent = false; attempt = NONE }
#endif
	od
}
