import subprocess
import sys
import unittest

from bench.fleet import LocalFleet, make_address

_LIST_LOADED = """
import importlib, sys
importlib.import_module(sys.argv[1])
print(*(name for name in sys.modules if name.startswith("anvilshift.")))
"""


class StandinLoadTest(unittest.TestCase):
    def test_standins_of_a_fleet_load_no_router(self):
        """Guards against stand-ins that are as slow to start as a router.

        On a busy machine the start of eight such processes exceeds its time limit.
        """
        fleet = LocalFleet()
        self.addCleanup(fleet.stop)
        fleet.addresses["e1"] = make_address()
        fleet.start_target("e1", "engine")
        command = fleet.processes["e1"].command
        module = command[command.index("-m") + 1]
        run = subprocess.run(
            [sys.executable, "-c", _LIST_LOADED, module],
            capture_output=True,
            check=True,
        )
        layers = {name.split(".")[1] for name in run.stdout.decode().split()}
        self.assertIn("standins", layers)
        self.assertEqual(layers & {"router", "gateway", "peers", "settings"}, set())
