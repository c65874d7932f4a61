package result

var table = []Info{
	{OK, "ok", "done", "Nothing to do.", 200, false, false},
	{Malformed, "malformed", "request is malformed", "Correct the request as the detail says.", 400, true, false},
	{UnknownClass, "class", "class is unknown", "List the classes, or create it.", 400, true, false},
	{UnknownAdapter, "adapter", "adapter or version is unknown", "List the adapters; the version must be named exactly.", 404, true, false},
	{UnknownModel, "model", "base model is unknown", "Use a model that the catalogue lists.", 404, true, false},
	{UnknownService, "service", "service is unknown", "Use a service that has announced itself.", 404, true, false},
	{TooLarge, "large", "body is too large", "Send a smaller body.", 413, true, false},
	{LengthConflict, "length", "Content-Length and chunked encoding together", "Send one of the two.", 400, true, false},
	{WrongToken, "token", "token is missing or wrong", "Give the operators' token.", 401, true, false},
	{KeyMissing, "nokey", "Idempotency-Key is missing", "Non-idempotent work needs a key.", 400, true, false},
	{KeyReused, "reused", "Idempotency-Key was used with another body", "Use a new key for new work.", 422, true, false},
	{KeyExpired, "expired", "deadline of the key has passed", "It may have run before; look at the service's own record.", 410, false, false},
	{DeadlineMissing, "nodeadline", "deadline is missing", "Non-idempotent work needs a deadline.", 400, true, false},
	{Quarantined, "quarantined", "request crashes upstreams and is quarantined", "Do not resend it; tell the operators.", 422, true, false},
	{NotFound, "path", "no such path", "See docs/INTERFACES.md.", 404, true, false},
	{DeadlineTooFar, "far", "deadline is too far away", "Give a nearer deadline.", 400, true, false},
	{RequestIncomplete, "incomplete", "request was not sent whole", "Send it again.", 408, true, true},
	{NoRoute, "noroute", "no route matches the host and path", "Check host and path; check the routing document.", 404, true, false},
	{HeadTooLarge, "head", "head is too large", "Send fewer or shorter headers.", 431, true, false},

	{Overloaded, "overloaded", "too much work is waiting", "Retry after the time given.", 429, true, true},
	{DeadlineHopeless, "hopeless", "deadline cannot be met", "Retry after the time given.", 503, true, true},
	{NoUpstream, "noupstream", "no upstream can take the request", "Retry; check that upstreams announce themselves.", 503, true, true},
	{NotFresh, "stale", "this address cannot confirm its configuration", "Use another of the addresses given.", 503, true, true},
	{Draining, "draining", "this address is draining", "Use another of the addresses given.", 503, true, true},
	{NoLeader, "noleader", "no leader is reachable", "Retry; if it lasts, see the repair page.", 503, true, true},
	{RetryBudget, "budget", "retry budget is spent", "Retry after the time given.", 503, true, true},
	{LoadFailed, "load", "adapter could not be loaded", "Retry later; check the weight store.", 503, true, true},
	{OwnerUnreachable, "owner", "owner of the replica is unreachable", "Use another of the addresses given.", 503, true, true},
	{Deposed, "deposed", "order carries an old fencing number", "Use another of the addresses given.", 503, true, true},
	{Restarted, "restarted", "upstream has another incarnation", "Retry after the time given.", 503, true, true},
	{NotResident, "notresident", "adapter is not resident", "Retry after the time given.", 503, true, true},
	{Pinned, "pinned", "adapter is in use and stays", "Retry after the time given.", 503, true, true},
	{Superseded, "superseded", "another copy with this key was told not run", "Send it again with the same key if the work is still wanted.", 503, true, true},
	{NoRouting, "norouting", "no routing document is known yet", "Retry; use another of the addresses given.", 503, true, true},
	{Suspended, "suspended", "upstreams have crashed under such requests", "Retry after the time given; if it lasts, tell the operators.", 503, true, true},
	{OutOfMemory, "memory", "requests take too much memory", "Retry after the time given.", 503, true, true},

	{Unknown, "unknown", "outcome is unknown", "Do not assume either; look at the service's own record.", 502, false, false},
	{StillRunning, "running", "same key is still running", "Ask again with the same key.", 409, false, true},
	{UpstreamFailed, "upstream", "upstream failed", "Idempotent work may be sent again.", 502, false, true},
	{StreamCut, "cut", "answer was cut", "Idempotent work may be sent again.", 502, false, true},
	{TimedOut, "timeout", "deadline passed", "Idempotent work may be sent again.", 504, false, true},
	{WrongAnswer, "mismatch", "answer did not match the request", "Idempotent work may be sent again.", 502, false, true},
	{Unconfirmed, "unconfirmed", "ledger cannot be reached", "Send it again with the same key, also to another address.", 503, false, true},

	{VersionConflict, "conflict", "version has moved on", "Read the current version and decide again.", 409, true, false},
	{Pending, "pending", "change is durable but not yet in force everywhere", "Send it again with the same change id.", 202, false, true},
	{ChangeInvalid, "invalid", "change is invalid", "Correct the change as the detail says.", 400, true, false},
	{ChangeRefused, "refused", "change is not allowed now", "See the detail.", 409, true, false},
	{ChangeIDReused, "changeid", "change id was used for another change", "Use a new change id.", 422, true, false},

	{SettingsInvalid, "settings", "settings are invalid", "Correct the line named.", 500, true, false},
	{DiskDamaged, "damaged", "data folder is damaged", "Keep the files; see the repair page.", 500, true, false},
	{DiskForeign, "foreign", "data folder belongs to another daemon or cluster", "Name the right folder.", 500, true, false},
	{Unreachable, "unreachable", "address cannot be reached", "Check the address and the daemon.", 503, false, true},
	{Internal, "internal", "internal error", "Report it with the log.", 500, false, false},
}

var byCode = indexByCode(table)

func indexByCode(rows []Info) map[Code]Info {
	m := make(map[Code]Info, len(rows))
	for _, r := range rows {
		m[r.Code] = r
	}
	return m
}
