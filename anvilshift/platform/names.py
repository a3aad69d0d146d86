"""The platform's names of headers, kinds and paths, in one place."""

ATTEMPT = "anvilshift-attempt-id"
DEADLINE = "anvilshift-deadline-ms"
AUTHORIZATION = "authorization"
SCHEME = "bearer "
MODEL = "anvilshift-model"
TOKENS = "anvilshift-token-usage"
PARTS = "anvilshift-prefix-hash"
RESUME = "last-event-id"

EXPECTED = "anvilshift-expect-instance"
ORGANISATION = "anvilshift-tenant"
PRIORITY = "anvilshift-request-priority"
FETCH = "kv-fetch"

SIGNATURE = "anvilshift-engine-signature"
NOT_RUN = "anvilshift-not-executed"
LIMIT = "server-limit"
RETRY_AFTER = "retry-after"

OWN = frozenset(
    {
        EXPECTED,
        ORGANISATION,
        PRIORITY,
        DEADLINE,
        FETCH,
        "kv-from",
        "anvilshift-kv-backup",
        "anvilshift-kv-retention",
        "anvilshift-pin-ms",
        "anvilshift-expect-version",
    }
)
"""Headers that only the system sets: what a caller sent of them is dropped."""

ONE_CONNECTION = frozenset(
    {
        "host",
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern only one connection; the client writes its own."""

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"
READY_PATH = "/v1/readyz"
RESOLVE_PATH = "/v1/resolve"
ASKED_DOMAIN = "zone"
"""Of a call to `RESOLVE_PATH`: the caller's failure domain."""
OBJECTS_PATH = "/v1/objects"
BOOT_VARIABLE = "ANVILSHIFT_BOOT"
