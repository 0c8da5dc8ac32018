"""Header names of the platform, in lower case as h11 returns them."""

from __future__ import annotations

REQUEST_ID = b"request-id"
# Milliseconds for which the sender waits from now, not a point in time.
DEADLINE_MS = b"deadline-ms"
MODEL = b"model"
# Parts of the prompt as ID:TOKENS; the last one belongs to the request or its session alone.
PREFIX_PARTS = b"prefix-hash"
LAST_EVENT_ID = b"last-event-id"
# From callers that take up a broken stream: id of the attempt that brought its first event.
RESUMES = b"resumes"
# In all responses of the store; increases when the store is restored from an older copy.
STORE_ERA = b"store-era"
SIGNATURE = b"server-stamp"
NOT_RUN = b"not-executed"
# "1" in all responses of a backend server that is about to leave.
LEAVING = b"server-leaving"
# Seconds, also fractions; in a 503, how long the backend server asks this machine for no requests.
RETRY_AFTER = b"retry-after"
# Requests a second that a backend server takes from all machines together, a decimal number; in all
# its answers for as long as the limit holds.
REQUEST_LIMIT = b"server-limit"
EXPECTED_BACKEND = b"expect-instance"
# Running, waiting, slots; on some services also how long work takes now, 100 is usual.
LOAD = b"server-load"
# Key of the caller's organisation, from callers only; its name, to backend servers only.
API_KEY = b"x-api-key"
ORGANISATION = b"tenant"
# Tokens of the prompt and largest number of tokens of the answer, separated by a comma.
TOKEN_COUNTS = b"token-counts"
# The caller's estimate of the number of tokens of the answer.
LENGTH_HINT = b"length-hint"
URGENCY = b"request-priority"
STEP = b"stage"
# Milliseconds for which the engine may hold a request for changes of its prefix cache.
WAIT_MS = b"wait-ms"
KV_SOURCE = b"kv-source"
# Address of the engine from which to fetch its cached parts of the prompt before the prefill of the
# rest.
KV_FETCH = b"kv-fetch"

# Name of the VM that holds the lease, and a number that rises when the holder changes.
LEASE_HOLDER = b"lease-holder"
FENCING_TOKEN = b"fencing-token"

# Only figwalk sends these to a backend server; they are removed from callers' requests.
SYSTEM_HEADERS = frozenset(
    {
        DEADLINE_MS,
        EXPECTED_BACKEND,
        URGENCY,
        STEP,
        KV_SOURCE,
        KV_FETCH,
        b"kv-backup",
        b"kv-hold",
        b"pin-ms",
    }
)
# Removed from callers' requests where the configuration has organisations.
ORGANISATION_HEADERS = frozenset({API_KEY, ORGANISATION})
