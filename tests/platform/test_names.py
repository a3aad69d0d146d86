"""Names of the platform's wire format are used only in its adapter."""

import pathlib
import re
import unittest

from anvilshift.platform import names

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent / "anvilshift"
GENERAL = {"authorization", "bearer ", "last-event-id", "config", "main", "servers"}
"""Names that are also common in HTTP, server-sent events or plain English."""
OWN_INTERFACE = {"anvilshift-deadline-ms"}
"""Headers of the gateway's own interface, which the platform adopted."""
FIELDS = (
    "pathPrefix",
    "maxAttempts",
    "latencyGoalMs",
    "retryAllowance",
    "itlTargetMs",
    "routeKind",
    "engineId",
    "apiKeys",
    "kvCapacity",
    "coldLeftMs",
    "ttlS",
    "hasMore",
    "sinceRevision",
    "ANVILSHIFT_BOOT",
)


class NamesTest(unittest.TestCase):
    def setUp(self):
        values = [v for v in vars(names).values() if isinstance(v, str)]
        values += [v for group in (names.RESERVED_HEADERS,) for v in group]
        headers = {
            v
            for v in values
            if v.startswith(("anvilshift-", "server-", "/v1/re", "kv-"))
        }
        wire = (headers - GENERAL - OWN_INTERFACE) | set(FIELDS)
        self.pattern = re.compile("|".join(re.escape(n) for n in sorted(wire)), re.I)

    def test_the_wire_format_is_known_to_the_adapter_only(self):
        found = []
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            for line in path.read_text().splitlines():
                if self.pattern.search(line):
                    found.append(f"{path.name}: {line.strip()}")
        self.assertEqual(found, [])

    def test_the_adapter_stays_small(self):
        def count(paths):
            return sum(len(path.read_text().splitlines()) for path in paths)

        adapter = count((ROOT / "platform").glob("*.py"))
        whole = count(p for p in ROOT.rglob("*.py") if "generated" not in p.parts)
        self.assertLess(adapter, whole / 10)
