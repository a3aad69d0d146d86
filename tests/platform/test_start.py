import subprocess
import sys
import unittest

from bench.fleet import ROOT

_HEAVY = (
    "anvilshift.client",
    "anvilshift.core.dispatcher",
    "anvilshift.core.durations",
    "anvilshift.core.work",
    "anvilshift.engines",
    "anvilshift.objects.httpstore",
    "anvilshift.objects.ledgers",
    "anvilshift.operator",
    "anvilshift.peers",
    "anvilshift.router",
    "anvilshift.settings",
    "anvilshift.standins",
    "argparse",
    "fire",
    "google.protobuf",
    "grpclib",
    "h2",
    "multidict",
    "opentelemetry",
    "prometheus_client",
    "unittest",
    "yaml",
)
"""Packages and modules for the chat interface, operators and trials."""
_LIST_LOADED = "import anvilshift.platform.main, sys; print(*sys.modules)"


class StartTest(unittest.TestCase):
    def test_router_loads_only_what_it_uses(self):
        """Guards against a killed router that serves late, as it loads other parts."""
        command = [sys.executable, "-c", _LIST_LOADED]
        loaded = set(subprocess.check_output(command, cwd=ROOT, text=True).split())
        self.assertIn("anvilshift.gateway.node", loaded)
        self.assertEqual(sorted(loaded.intersection(_HEAVY)), [])
