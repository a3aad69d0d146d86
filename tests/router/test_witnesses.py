"""Copies of unrecorded bills at other routers, some of which have stopped."""

import unittest

from anvilshift.core.account import Bill
from anvilshift.core.billcopies import BillCopies
from anvilshift.core.membership import HeartbeatStatus, Member, Roster
from anvilshift.peers.generated.peers_pb2 import KeepReply
from anvilshift.peers.link import PeerError
from anvilshift.router.billcopyholders import BillCopyHolders
from anvilshift.router.messages import read_bills
from anvilshift.standins.virtual import VirtualClock
from tests.router.nodes import VirtualTestCase

NAMES = ("r1", "r2", "r3", "r4", "r5")
BILLS = (("pounds", Bill("k", "kosice", 30, "r1-a")),)


def make_member(name):
    return Member(name, f"{name}-a", name, name, f"peer-{name}", "north")


class Routers:
    """Five routers that have heard each other, and some of which are dead now."""

    def __init__(self):
        self.clock = VirtualClock()
        self.dead = set()
        self.copies = {name: BillCopies(f"{name}-a") for name in NAMES}

    def make(self, name):
        members = Roster(5_000.0)
        for other in NAMES:
            if other != name:
                members = members.record_heartbeat(
                    make_member(other), HeartbeatStatus(), self.clock.now()
                )
        return BillCopyHolders(self, self.clock, make_member(name), lambda: members)

    async def keep(self, address, request):
        name = address.removeprefix("peer-")
        if name in self.dead:
            raise PeerError("connection refused", sent=False)
        bills = read_bills(request, 0)
        kept = self.copies[name].add(request.holder, bills, request.witness)
        return KeepReply(kept=kept)

    def list_allocators(self, holder="r1-a"):
        return {name for name, copies in self.copies.items() if copies.list(holder)}


class WitnessesTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.routers = Routers()

    async def test_copies_go_to_others_than_the_witness_and_the_dead(self):
        """Two live routers other than the witness must get copies.

        Otherwise only the holder and its witness have the bill, and it is lost with
        them.
        """
        for dead in NAMES[1:]:
            for witness in NAMES[1:]:
                self.routers = Routers()
                self.routers.dead = {dead}
                keeping = self.routers.make("r1").keep_copies
                self.assertTrue(await keeping("r1-a", BILLS, f"{witness}-a"))
                allocators = self.routers.list_allocators()
                self.assertEqual(len(allocators), 2)
                self.assertFalse(allocators & {dead, witness, "r1"})

    async def test_copies_are_missed_when_nobody_answers(self):
        self.routers.dead = set(NAMES)
        keeping = self.routers.make("r1").keep_copies("r1-a", BILLS, "")
        self.assertFalse(await keeping)

    async def test_router_that_stops_hands_its_copies_on(self):
        """A router that stops must pass on the copies that it keeps as a witness."""
        copies = self.routers.copies["r2"]
        copies.add("r1-a", BILLS, witness="r2-a")
        await self.routers.make("r2").transfer_copies(copies)
        self.assertEqual(len(self.routers.list_allocators() - {"r1", "r2"}), 2)

    async def test_router_that_has_handed_its_copies_on_takes_no_more(self):
        """A router that has passed on its copies must not accept new ones.

        A copy accepted between that and its stop would be lost.
        """
        copies = self.routers.copies["r2"]
        await self.routers.make("r2").transfer_copies(copies)
        self.assertFalse(copies.add("r1-a", BILLS, witness="r2-a"))


if __name__ == "__main__":
    unittest.main()
