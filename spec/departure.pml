/*
 * The departure of a replica's run. Run 1 reports that it is ready and leaves with
 * a deregistration, which names no run; run 2 of the same name starts later. A
 * report may arrive at any daemon at any later time, repeatedly. Daemons may be
 * killed, also all at once, and forget records that are not renewed. The log itself
 * is a single variable here; log.pml models it.
 *
 * Properties: once the departure is acknowledged and the daemons have had time to
 * learn of it, none sends a request to run 1. Run 2 never counts as left.
 *
 * Guards that can be removed: IN_MEMORY (the departure is a record of the daemons that
 * run when it is acknowledged), KNOWN_ONLY (it is kept only if the daemon knows the
 * run), RECORD_FIRST (a report goes before the log), SERVE_EARLY (a daemon that has
 * started serves before it has read the log), WHOLE_NAME (it covers all runs of the
 * name).
 */
#define DAEMONS 2
#define LATE 1
#define NEXT 2
#ifdef WHOLE_NAME
#define COVERED NEXT
#else
#define COVERED LATE
#endif
#ifdef RECORD_FIRST
#define ALLOWED(d) true
#else
#define ALLOWED(d) (view[d] < LATE)
#endif

/* Latest run that has left according to the log. */
byte left;
/* Reports and the deregistration that have been sent. */
bool reported[NEXT + 1], deregistered;
bool acknowledged;
/* The daemons have had time to learn of the departure. */
bool passed;

/* Of each daemon: the run that it knows, 0 if none; what it has read of the log;
 * whether it serves; whether it holds a record of the departure. */
byte known[DAEMONS], view[DAEMONS];
bool serves[DAEMONS], record[DAEMONS];

#define INFORMED(d) (!serves[d] || view[d] == left)

active proctype Replica() {
	reported[LATE] = true;
	deregistered = true;
	/* It exits with or without an acknowledgement. */
	reported[NEXT] = true
}

active proctype Time() {
#ifdef IN_MEMORY
	atomic { acknowledged && record[0] && record[1] -> passed = true }
#else
	atomic { acknowledged && INFORMED(0) && INFORMED(1) -> passed = true }
#endif
}

active [DAEMONS] proctype Daemon() {
	byte d = _pid - 2;
	byte r;
	do
	:: atomic {
		if
		:: reported[LATE] -> r = LATE
		:: reported[NEXT] -> r = NEXT
		fi;
		if
		:: r > known[d] -> known[d] = r
		:: else
		fi;
		r = 0 }
	:: atomic { deregistered && !acknowledged ->
#if defined(IN_MEMORY)
		record[0] = true;
		record[1] = true;
#elif defined(KNOWN_ONLY)
		if
		:: known[d] == LATE -> left = COVERED
		:: else
		fi;
#else
		left = COVERED;
#endif
		acknowledged = true }
	:: atomic { view[d] = left; serves[d] = true }
	/* A record that is not renewed expires. */
	:: known[d] = 0
	/* Killed and started again. */
	:: atomic {
		known[d] = 0; view[d] = 0; record[d] = false;
#ifndef SERVE_EARLY
		serves[d] = false
#endif
		}
	:: atomic { serves[d] && known[d] == LATE && !record[d] && ALLOWED(d) -> assert(!passed) }
	:: atomic { view[d] >= NEXT -> assert(false) }
	od
}
