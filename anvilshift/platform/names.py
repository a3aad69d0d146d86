"""Names of the platform's headers, object kinds, paths and variables."""

ATTEMPT_ID = "anvilshift-attempt-id"
DEADLINE_MS = "anvilshift-deadline-ms"
AUTHORIZATION = "authorization"
BEARER_PREFIX = "bearer "
MODEL = "anvilshift-model"
TOKEN_USAGE = "anvilshift-token-usage"
PREFIX_HASH = "anvilshift-prefix-hash"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"

EXPECTED_TARGET = "anvilshift-expect-instance"
ORGANISATION = "anvilshift-tenant"
PRIORITY = "anvilshift-request-priority"
KV_FETCH = "kv-fetch"

ENGINE_SIGNATURE = "anvilshift-engine-signature"
NOT_EXECUTED = "anvilshift-not-executed"
RATE_LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
BRITTLE = "server-brittle"
LEAVING = "server-leaving"
TARGET_LOAD = "anvilshift-engine-load"

RESERVED_HEADERS = frozenset(
    {
        EXPECTED_TARGET,
        ORGANISATION,
        PRIORITY,
        DEADLINE_MS,
        KV_FETCH,
        "kv-from",
        "anvilshift-kv-backup",
        "anvilshift-kv-retention",
        "anvilshift-pin-ms",
        "anvilshift-expect-version",
    }
)
"""Headers that only the system sets; they are dropped from callers' requests."""

HOP_HEADERS = frozenset(
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
"""Hop-by-hop headers; the HTTP client writes its own for each connection."""

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"
DRAINS_KIND = "evacuations"
"""Kind of the objects that drain the failure domains whose names they have."""
REPORT_PATH = "/v1/report"
READY_PATH = "/v1/readyz"
RESOLVE_PATH = "/v1/resolve"
DOMAIN_PARAMETER = "zone"
"""Query parameter of `RESOLVE_PATH` that names the caller's failure domain."""
OBJECTS_PATH = "/v1/objects"
SETTINGS_VARIABLE = "ANVILSHIFT_BOOT"
