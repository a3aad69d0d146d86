"""Short randomised runs; `make soak` runs longer ones."""

import unittest

from absl import logging

from bench.soak.run import run_seed

VIRTUAL_SECONDS = 30.0
SEEDS = (1, 2, 3, 5)
"""Each seed once found a fault, which docs/INVARIANTS.md describes."""

SILENCE_SEEDS = (8101, 8102)


class SoakTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    def test_invariants_hold_under_random_faults(self):
        """Routers are killed, paused and disconnected while the platform fails too.

        Every request is checked against what the targets ran and what the ledger
        recorded; a broken invariant ends the run with an error that names it.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                journal = run_seed(seed, VIRTUAL_SECONDS)
                self.assertGreater(journal.events, 500)
                self.assertGreater(journal.checks["billed exactly once"], 100)

    def test_repeats_are_bounded_while_engines_reject_requests(self):
        """Guards against work that is sent again more often than requests allow."""
        for seed in (3001, 3004):
            with self.subTest(seed=seed):
                journal = run_seed(seed, 40.0, rejects=True)
                self.assertGreater(journal.checks["repeats are bounded"], 100)

    def test_silent_engines_lose_no_answer(self):
        """Guards against a silent attempt that ends before the next one is secured."""
        for seed in SILENCE_SEEDS:
            with self.subTest(seed=seed):
                journal = run_seed(seed, VIRTUAL_SECONDS, silences=True)
                self.assertGreater(journal.faults["silence"], 10)
                for name in (
                    "a silent engine loses no answer",
                    "a caller at silent engines loses nothing",
                ):
                    self.assertGreater(journal.checks[name], 100)

    def test_silent_platform_holds_up_no_change(self):
        """Guards against routers that wait for connections that have fallen silent."""
        for seed in (7, 8102):
            with self.subTest(seed=seed):
                journal = run_seed(seed, 50.0, silent_platform=True)
                checked = journal.checks["a silence holds up no change"]
                self.assertGreaterEqual(checked, 2)

    def test_poison_at_an_engine_that_fails_by_itself(self):
        """An engine crashes three times in a minute, then a poison crashes it too.

        Guards against counting the engine as faulty without blaming the poison,
        which then crashes two more engines.
        """
        run_seed(41, 200.0)

    def test_poison_beside_another_suspect(self):
        """A poison and an innocent request both ran where an engine crashed.

        Both are suspects.  Guards against blaming the innocent one when the next
        engine crashes while running work of both routers, and running the poison
        once more.
        """
        run_seed(48, 200.0)

    def test_poison_whose_crash_another_suspect_took(self):
        """Guards against a third engine crashed within milliseconds of the first."""
        run_seed(319, 30.0)

    def test_poison_whose_blame_was_withdrawn(self):
        """Guards against clearing a poison because of an engine's own crashes."""
        run_seed(66, 40.0)

    def test_poison_through_a_router_that_is_cut_off(self):
        """Guards against a third engine crashed by routers not told of the blame."""
        run_seed(1011, 40.0)

    def test_bill_whose_keepers_end_within_seconds(self):
        """Guards against an answer that ends on a copy whose keeper is dead by then."""
        run_seed(82044, 100.0)

    def test_bill_whose_keepers_stop_in_an_outage(self):
        """Guards against a planned stop that can leave its copies with nobody."""
        run_seed(82049, 100.0)
