"""Removal of lost routers, and serving during partitions and outages."""

import unittest

from anvilshift.core.lease import Lease
from anvilshift.core.membership import HeartbeatStatus, Member, Roster

LEASE = 4_000.0
OUT = HeartbeatStatus(reaches_platform=False, renewing_for=0.0)
SETTLED = HeartbeatStatus(renewing_for=2 * LEASE)


SEEN = 100


def make_member(name, seen=SEEN, since=1):
    address = "127.0.0.1:1"
    return Member(
        name, f"{name}-a", name, address, address, "north", since=since, seen=seen
    )


def make_members(**heard):
    """Return a roster from each member's last status and its instant."""
    members = Roster(LEASE)
    for name, (heartbeat_status, at) in heard.items():
        members = members.record_heartbeat(make_member(name), heartbeat_status, at)
    return members


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.lease = Lease(LEASE)
        self.lease.begin(0.0)
        self.lease.succeed(10.0)

    def serve_until(self, roster_at, end):
        """Check at each heartbeat, as a router does; return the last result."""
        may_serve = True
        for step in range(0, int(end) + 1, 500):
            may_serve = self.lease.may_serve(roster_at(float(step)), SEEN, float(step))
        return may_serve

    def test_isolated_router_stops_when_its_lease_expires(self):
        members = make_members(r2=(SETTLED, 0.0), r3=(SETTLED, 0.0))
        self.assertTrue(self.serve_until(lambda now: members, 4_000))
        self.assertFalse(self.lease.may_serve(members, SEEN, 4_500.0))

    def test_whole_fleet_keeps_serving_during_a_platform_outage(self):
        def all_out(now):
            return make_members(r2=(OUT, now), r3=(OUT, now))

        self.assertTrue(self.serve_until(all_out, 60_000))

    def test_minority_stops_during_a_platform_outage_and_a_partition(self):
        def one_of_five(now):
            silent = (OUT, 0.0)
            return make_members(r2=(OUT, now), r3=silent, r4=silent, r5=silent)

        self.assertFalse(self.serve_until(one_of_five, 9_000))

    def test_router_stops_if_it_hears_that_another_renews(self):
        def one_renews(now):
            return make_members(
                r2=(OUT, now), r3=(HeartbeatStatus(renewing_for=1.0), now)
            )

        self.assertFalse(self.serve_until(one_renews, 4_500))

    def test_last_word_of_a_dead_router_ends_no_lease_in_an_outage(self):
        """Guards against a heartbeat from before an outage that outlasts leases.

        One of three routers dies as an outage begins.  Its last heartbeat, at 600,
        says that it renews; this router's lease lapses at 4,000.  The two left are
        two of three, and neither renews.
        """

        def one_dies(now):
            return make_members(r2=(OUT, now), r3=(SETTLED, min(now, 600.0)))

        self.assertTrue(self.serve_until(one_dies, 60_000))

    def test_silent_routers_that_said_they_renew_make_no_majority(self):
        """Guards against taking silence for a sign that the platform is out.

        A router and one more of five lose the platform and the three others, which
        go on renewing.  They were heard at 3,000, within the lease that lapses at
        4,000, but two of five are no majority.
        """

        def two_of_five(now):
            silent = (SETTLED, min(now, 3_000.0))
            return make_members(r2=(OUT, now), r3=silent, r4=silent, r5=silent)

        self.assertTrue(self.serve_until(two_of_five, 4_000))
        self.assertFalse(self.lease.may_serve(two_of_five(4_500.0), SEEN, 4_500.0))

    def test_router_that_renews_ends_leases_while_it_is_heard(self):
        """Guards against serving beside a router that shows the platform to be there.

        Heartbeats are a quarter of the lease apart at most, 1,000 of 4,000, so the
        one from 3,500 speaks for the present until 4,500.
        """

        def one_renews(now):
            return make_members(r2=(OUT, now), r3=(SETTLED, min(now, 3_500.0)))

        self.assertTrue(one_renews(4_501.0).is_platform_down(SEEN, 4_501.0))
        self.assertFalse(self.serve_until(one_renews, 4_500))
        self.assertFalse(self.lease.may_serve(one_renews(5_000.0), SEEN, 5_000.0))

    def test_stopped_router_stays_stopped_when_an_outage_begins(self):
        """Guards against serving again under outdated declarations.

        A router is cut off from the platform and removed, and a declaration is
        accepted without it.  Then the platform fails for all routers, and the
        removed router hears that no router renews.
        """

        def renews_until_six(now):
            heartbeat_status = SETTLED if now < 6_000 else OUT
            return make_members(r2=(heartbeat_status, now), r3=(heartbeat_status, now))

        self.assertFalse(self.serve_until(renews_until_six, 60_000))
        self.lease.begin(60_500.0)
        self.lease.succeed(60_510.0)
        self.assertTrue(
            self.lease.may_serve(renews_until_six(60_510.0), SEEN, 60_510.0)
        )

    def test_resumed_router_does_not_rely_on_buffered_heartbeats(self):
        """Guards against serving by heartbeats that arrived during a pause.

        A router is paused during a platform outage, which ends before the router
        resumes.  Heartbeats from the outage are still in its socket buffers; when
        it reads them, they seem recent and report the platform as unreachable.
        """

        def all_out(now):
            return make_members(r2=(OUT, now), r3=(OUT, now))

        self.assertTrue(self.serve_until(all_out, 6_000))
        self.assertFalse(self.lease.may_serve(all_out(30_000.0), SEEN, 30_000.0))

    def test_slow_renewal_is_reported_to_others_as_failed(self):
        self.lease.begin(1_000.0)
        self.assertGreater(self.lease.renewing_for(1_400.0), 0.0)
        self.assertEqual(self.lease.renewing_for(1_600.0), 0.0)
        self.lease.succeed(1_700.0)
        self.assertEqual(self.lease.renewing_for(1_900.0), 200.0)


class RemovalTest(unittest.TestCase):
    own = make_member("r1")

    def may_remove(self, members, now=5_000.0, renewing_for=2 * LEASE):
        lost = make_member("r9")
        return members.may_remove(lost, self.own, renewing_for, now)

    def test_routers_that_renew_may_remove_a_lost_one(self):
        members = make_members(r2=(SETTLED, 4_500.0), r9=(SETTLED, 0.0))
        self.assertTrue(self.may_remove(members))

    def test_half_of_a_fleet_removes_the_other_half(self):
        """Two of four hosts fail at once, such as a rack of a small fleet."""
        lost = (SETTLED, 0.0)
        members = make_members(r2=(SETTLED, 4_500.0), r8=lost, r9=lost)
        self.assertTrue(self.may_remove(members))
        self.assertFalse(self.may_remove(make_members(r2=lost, r8=lost, r9=lost)))

    def test_half_of_a_fleet_without_the_platform_does_not_serve(self):
        members = make_members(r2=(OUT, 4_500.0), r3=(OUT, 0.0), r4=(OUT, 0.0))
        self.assertFalse(members.is_platform_down(SEEN, 4_600.0))

    def test_minority_that_reaches_the_platform_removes_no_router(self):
        """Guards against removing a cut-off majority that keeps serving.

        One of five routers reaches the platform and hears no other router.  The
        other four hear each other, conclude that the platform is down and keep
        serving.  If they were removed, a declaration could be accepted without
        them.
        """
        silent = (SETTLED, 0.0)
        members = make_members(r2=silent, r3=silent, r4=silent, r9=silent)
        self.assertFalse(self.may_remove(members))

    def test_heartbeat_from_before_the_loss_does_not_count(self):
        members = make_members(r2=(SETTLED, 3_900.0), r9=(SETTLED, 0.0))
        self.assertFalse(self.may_remove(members))

    def test_router_that_fell_silent_after_its_vote_does_not_count(self):
        """Guards against a vote that outlasts the voter's renewals.

        The vote is from 4,100, after the loss at 4,000, and counts for half of the
        lease, until 6,100.  Later its sender may be cut off from the platform and
        serving on together with the lost router.
        """
        members = make_members(r2=(SETTLED, 4_100.0), r9=(SETTLED, 0.0))
        self.assertTrue(self.may_remove(members, now=6_100.0))
        self.assertFalse(self.may_remove(members, now=6_101.0))

    def test_routers_that_joined_later_do_not_help_a_cut_off_minority(self):
        """Guards against counting routers that have no vote on the removal.

        One of three routers is cut off.  Two routers that have joined since lose
        the platform too, and these three hear each other.  They are three of five,
        but only one of the three that vote on the removal.
        """
        members = make_members(r2=(SETTLED, 0.0), r3=(SETTLED, 0.0))
        for name in ("r5", "r6"):
            newcomer = make_member(name, since=SEEN + 1)
            members = members.record_heartbeat(newcomer, OUT, 4_500.0)
        self.assertFalse(members.is_platform_down(SEEN, 4_600.0))

    def test_router_that_renews_only_recently_does_not_count(self):
        recent = HeartbeatStatus(renewing_for=LEASE)
        members = make_members(r2=(recent, 4_500.0), r9=(SETTLED, 0.0))
        self.assertFalse(self.may_remove(members))

    def test_routers_that_joined_later_do_not_outvote_a_cut_off_majority(self):
        members = make_members(r2=(SETTLED, 0.0), r9=(SETTLED, 0.0))
        for name in ("r5", "r6", "r7"):
            newcomer = make_member(name, since=101)
            members = members.record_heartbeat(newcomer, SETTLED, 4_500.0)
        self.assertFalse(self.may_remove(members))

    def test_member_that_was_heard_within_a_lease_is_not_removed(self):
        members = make_members(r2=(SETTLED, 4_500.0), r9=(SETTLED, 1_500.0))
        self.assertFalse(self.may_remove(members))
