"""Which requests are sent, wait or are refused while room is short."""

import unittest

from anvilshift.core.admission.returns import ReturnPlaces
from tests.core.admission.roomplay import RoomPlay, make_calls

SPAN = 12_000.0


class CompetingRoutesTest(unittest.TestCase):
    """Load: urgent and less urgent requests, together half more than the link takes."""

    calls = [
        *make_calls(20.0, SPAN, route="urgent", priority=0, objective=250.0),
        *make_calls(20.0, SPAN, route="patient", priority=2, objective=250.0),
        *make_calls(20.0, SPAN, route="short", priority=1, objective=300.0),
    ]

    def test_more_end_in_time_than_in_order_of_arrival(self):
        """Guards against a link that carries only what ends after its deadline."""
        ordered, plain = RoomPlay().run(self.calls), RoomPlay(False).run(self.calls)
        total = {one: sum(one.served[r] for r in ROUTES) for one in (ordered, plain)}
        self.assertGreater(total[ordered], total[plain])
        self.assertLess(ordered.wasted, plain.wasted / 4)

    def test_no_route_is_served_less_often_than_a_less_urgent_one(self):
        """Guards against urgent requests that wait behind less urgent ones."""
        play = RoomPlay().run(self.calls)
        urgent, short, patient = (play.find_share(name) for name in ROUTES)
        self.assertGreaterEqual(urgent, short - 0.05)
        self.assertGreaterEqual(short, patient - 0.05)

    def test_least_urgent_is_served_a_quarter_as_often_as_all(self):
        """Guards against the least urgent route that is never served."""
        play = RoomPlay().run(self.calls)
        asked = sum(play.asked[name] for name in ROUTES)
        whole = sum(play.served[name] for name in ROUTES) / asked
        self.assertGreaterEqual(play.find_share("patient"), whole / 4)

    def test_most_that_is_refused_is_told_at_once(self):
        """Guards against refusals that come as the deadline passes."""
        told = sorted(RoomPlay().run(self.calls).told)
        self.assertTrue(told)
        self.assertLessEqual(told[len(told) // 2], 50.0)
        self.assertLess(max(told), 2_000.0)


ROUTES = ("urgent", "short", "patient")


class HotOrganisationTest(unittest.TestCase):
    """Load: one organisation sends six times its share of what the link takes."""

    def test_others_are_served_as_if_it_sent_its_share(self):
        """Guards against others' requests waiting behind the hot organisation's."""
        calls = make_calls(8.0, SPAN, route="read", organisation="hot")
        for name in ("pounds", "francs", "marks"):
            calls += make_calls(80.0, SPAN, route="read", organisation=name)
        play = RoomPlay().run(calls)
        for name in ("pounds", "francs", "marks"):
            with self.subTest(name=name):
                self.assertGreaterEqual(play.find_share(name), 0.9)
        self.assertGreaterEqual(play.find_share("hot"), 0.25)


class SizeTest(unittest.TestCase):
    """Load: one request in ten of a route is ten times as large as the others."""

    def test_largest_tenth_is_served_half_as_often_as_its_route(self):
        """Guards against large requests passed over because small ones fit sooner."""
        small = make_calls(10.0, SPAN, route="read", organisation="a")
        large = make_calls(
            100.0, SPAN, route="read", organisation="b", work=60.0, tokens=6_000.0
        )
        play = RoomPlay().run([*small, *large])
        whole = play.served["read"] / play.asked["read"]
        self.assertGreaterEqual(play.find_share("b"), whole / 2)


class RepeatingCallersTest(unittest.TestCase):
    """Load: refused callers come back, some as told and some at once."""

    def test_callers_come_back_at_moments_of_their_own(self):
        """Guards against a refused burst that returns as a burst."""
        calls = make_calls(5.0, SPAN, route="read")
        play = RoomPlay().run(calls)
        per_window = {}
        for at in play.returns:
            per_window[at // 100.0] = per_window.get(at // 100.0, 0) + 1
        self.assertLessEqual(max(per_window.values()), 20)

    def test_callers_that_wait_as_told_are_served_more_often_than_those_that_dont(self):
        """Guards against repeating at once being worth it."""
        shares = {}
        calls = make_calls(12.0, SPAN, route="read", organisation="a")
        calls += make_calls(12.0, SPAN, route="read", organisation="b", obeys=False)
        play = RoomPlay().run(calls)
        shares = {name: play.find_share(name) for name in "ab"}
        self.assertGreaterEqual(shares["a"], shares["b"])

    def test_caller_that_repeats_early_keeps_its_moment(self):
        """Guards against a caller gaining or losing by asking again and again."""
        places = ReturnPlaces()
        self.assertEqual(places.give("a", 0.0, 400.0, 0.01), 400.0)
        self.assertEqual(places.give("a", 100.0, 900.0, 0.01), 300.0)
        self.assertFalse(places.take("a", 300.0))
        self.assertTrue(places.take("a", 405.0))


class RoomTest(unittest.TestCase):
    """Load: less than the link takes."""

    def test_nothing_waits_or_is_refused_while_there_is_room(self):
        """Guards against an order that delays requests without need."""
        play = RoomPlay().run(make_calls(12.0, SPAN, route="read"))
        self.assertEqual(play.told, [])
        self.assertEqual(play.find_share("read"), 1.0)

    def test_everything_is_admitted_again_after_the_load(self):
        """Guards against a limit that outlasts the shortage it was set for."""
        calls = make_calls(4.0, 3_000.0, route="read")
        calls += [
            call for call in make_calls(50.0, SPAN, route="late") if call.at > 9_000.0
        ]
        play = RoomPlay().run(calls)
        asked = sum(call.route == "late" for call in calls)
        self.assertEqual(play.served["late"], asked)
        self.assertEqual(play.order.gauge.limit, float("inf"))
