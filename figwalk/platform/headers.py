"""Headers of the platform's callers and backend servers, in lower case as h11 gives them."""

from __future__ import annotations

REQUEST_ID = b"request-id"
# Milliseconds that the sender waits from now, not a point of time.
DEADLINE_MS = b"deadline-ms"
MODEL = b"model"
# Parts of the prompt as ID:TOKENS; the last one belongs to the request or its session alone.
PREFIX_PARTS = b"prefix-hash"
LAST_EVENT_ID = b"last-event-id"
# In all answers of the store; rises when the store comes back from an older copy of its content.
STORE_ERA = b"store-era"
SIGNATURE = b"server-stamp"
NOT_RUN = b"not-executed"
# "1" in all answers of a backend server that is about to leave.
LEAVING = b"server-leaving"
# Seconds, also fractions; in a 503, how long the backend server wants nothing from this machine.
RETRY_AFTER = b"retry-after"
EXPECTED_BACKEND = b"expect-instance"
# Running, waiting, slots.
LOAD = b"server-load"
URGENCY = b"request-priority"
STEP = b"stage"
# Milliseconds for which a question about the cache may be kept waiting.
WAIT_MS = b"wait-ms"
KV_SOURCE = b"kv-source"
# Address of an engine from which to take what it keeps of the prompt before reading the rest.
KV_FETCH = b"kv-fetch"

# Only the system may say these to a backend server; what a caller says of them is dropped.
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
