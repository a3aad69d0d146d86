import ast
import pathlib
import unittest

import anvilshift.gateway
from anvilshift.core.clock import ManualClock
from anvilshift.core.errors import InvariantError
from anvilshift.core.retries import RetryBudget, RetryLimits
from anvilshift.gateway.retrying import RequestRetries

PATHS = {
    ("attempts.py", "_attempt", "send"): "the only send of a caller's request",
    ("sending.py", "_exchange", "open"): "a connection, before anything is sent",
    ("sending.py", "_exchange", "exchange"): "after on_send, which records the send",
    ("reach.py", "connect", "open"): "a connection only, its user sends once",
    ("reach.py", "_connect_direct", "open"): "a connection only",
    ("reach.py", "_open_tunnel", "open"): "a connection through another router",
    ("configurations.py", "_ask", "call"): "a question to a router, not to a target",
    ("sharedwatches.py", "ask", "call"): "a question to a router, not to a target",
    ("targetstarts.py", "_check_doubted", "open"): "a connection, for a report",
    ("targetstarts.py", "check", "exchange"): "a report, no request of a caller",
}
"""The calls by which a gateway reaches targets: file, function, method and use."""


class RequestRetriesTest(unittest.TestCase):
    def make(self, share: float) -> RequestRetries:
        self.clock = ManualClock()
        self.budget = RetryBudget(RetryLimits(), share)
        return RequestRetries(self.budget, "desk", self.clock)

    def count_taken(self) -> int:
        """Return how many of a share of 10 are used."""
        return round(10 - self.budget._find_window("desk").count_left(10, 0.0))

    def test_the_first_send_needs_no_retry(self):
        retries = self.make(0.0)
        self.assertTrue(retries.may_send())
        retries.record_send()
        self.assertFalse(retries.may_send())

    def test_a_send_without_a_retry_fails(self):
        """Guards against a path that sends a request again past the budget."""
        retries = self.make(10.0)
        retries.record_send()
        with self.assertRaises(InvariantError):
            retries.record_send()

    def test_a_retry_is_used_by_one_send(self):
        """Guards against one retry that pays for two arrivals."""
        retries = self.make(10.0)
        retries.record_send()
        self.assertTrue(retries.may_send())
        self.assertTrue(retries.may_send())
        retries.record_send()
        with self.assertRaises(InvariantError):
            retries.record_send()
        self.assertEqual(self.count_taken(), 1)

    def test_a_retry_with_which_nothing_was_sent_is_given_back(self):
        """Guards against a budget used up by attempts that find no target."""
        retries = self.make(10.0)
        retries.record_send()
        retries.may_send()
        retries.close()
        self.assertEqual(self.count_taken(), 0)

    def test_a_retry_that_was_sent_is_not_given_back(self):
        retries = self.make(10.0)
        retries.record_send()
        retries.may_send()
        retries.record_send()
        retries.close()
        self.assertEqual(self.count_taken(), 1)

    def test_a_retry_under_way_counts_until_its_target_answers(self):
        retries = self.make(1.0)
        retries.record_send()
        retries.may_send()
        retries.record_send()
        self.clock.advance(60_000.0)
        self.assertIsNone(self.budget.take("desk", self.clock.now()))
        retries.record_arrival()
        self.clock.advance(10_300.0)
        self.assertIsNotNone(self.budget.take("desk", self.clock.now()))


class PathTest(unittest.TestCase):
    def test_all_paths_to_targets_are_known(self):
        """Guards against a new path that sends requests again past the budget."""
        self.assertEqual(list_paths(), set(PATHS))


def list_paths() -> set[tuple[str, str, str]]:
    """Return file, function and method of each call that may reach a target."""
    (folder,) = anvilshift.gateway.__path__
    found = set()
    for file in sorted(pathlib.Path(folder).glob("*.py")):
        for function in ast.walk(ast.parse(file.read_text())):
            if isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
                for call in ast.walk(function):
                    name = find_method(call)
                    if name is not None:
                        found.add((file.name, function.name, name))
    return found


def find_method(node: ast.AST) -> str | None:
    """Return the method by which a node sends something to a target, if it does."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return None
    method, owner = node.func.attr, ast.unparse(node.func.value)
    is_client = owner.endswith("client") and method in ("exchange", "open", "call")
    is_sender = owner.endswith("sender") and method == "send"
    is_reach = owner.endswith("reach") and method == "open"
    return method if is_client or is_sender or is_reach else None
