"""Who can bill an answer, for forced orders of its end, the messages and the kill."""

import asyncio
import copy
import unittest

from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import update
from anvilshift.router.budgets import LEDGER_KIND, LEDGER_NAME
from tests.router.billorders import DAY_S, TOKENS, OrdersCase, Routers


class ReservedOrdersTest(OrdersCase):
    """The router is killed before the request was sent to an engine."""

    async def test_reserved_and_killed_with_witness_frees_everything(self):
        """A request that never ran must cost nothing and leave no doubt."""
        routers = Routers()
        await routers.reserve()
        await routers.kill_and_seal()
        account = routers.account
        self.assertEqual((account.spent, account.doubt, account.free), (0, 0, 1_000))

    async def test_reserved_and_killed_without_witness_bills_nobody(self):
        """A request that never ran must not be billed, not even a day later."""
        routers = Routers(witness="")
        await routers.reserve()
        await routers.kill_and_seal()
        await asyncio.sleep(DAY_S)
        await routers.sweep(rounds=2)
        self.assertEqual((routers.account.spent, routers.account.usage), (0, {}))

    async def test_unrun_and_completed_look_alike_to_all_others(self):
        """Guards against ending an answer on what was known before it ran.

        One request never ran, the other ran to its end while its router was cut off;
        the platform and the other routers have the same records of both.
        """
        records = []
        for runs in (False, True):
            routers = Routers(witness="")
            await routers.reserve()
            routers.cut("r1")
            routers.lose_all_copies()
            if runs:
                await routers.end_answer()
            else:
                await asyncio.sleep(3)
            before = routers.read_ledger()
            routers.kill("r1")
            await routers.seal()
            copies = [b.copies.list("r1-a") for b in routers.all_router_budgets[1:]]
            after = routers.read_ledger()
            after["holders"]["r1-a"].pop("sealed_at")
            records.append((before, after, copies))
        self.assertEqual(*records)


class CommitOrdersTest(OrdersCase):
    """The kill comes before or after the commit request and its response."""

    async def test_cut_before_the_end_without_witness_is_billed(self):
        """A router that reaches nobody must not complete what nobody can bill."""
        routers = Routers(witness="")
        await routers.reserve()
        routers.cut("r1")
        routers.lose_all_copies()
        completed = await routers.end_answer()
        await routers.kill_and_seal()
        self.assert_billed(routers, completed)

    async def test_commit_request_lost_without_witness_is_billed(self):
        """A commit lost on its way must not be all that has the bill."""
        routers = Routers(witness="")
        await routers.reserve()
        routers.lose_all_copies()

        async def cut(caller, operation):
            if (caller, operation) == ("r1", "put"):
                routers.cut("r1")

        routers.store.faults.before = cut
        completed = await routers.end_answer()
        await routers.kill_and_seal()
        self.assert_billed(routers, completed)

    async def test_commit_response_lost_without_witness_is_billed(self):
        """A commit that took effect must bill even if its response was lost."""
        routers = Routers(witness="")
        await routers.reserve()
        routers.lose_all_copies()

        async def cut(caller, operation):
            if (caller, operation) == ("r1", "put"):
                routers.cut("r1")

        routers.store.faults.after = cut
        completed = await routers.end_answer()
        await routers.kill_and_seal()
        self.assertEqual(routers.account.spent, TOKENS)
        self.assert_billed(routers, completed)

    async def test_commit_response_lost_and_copy_kept_is_billed_once(self):
        """A bill in the ledger and in a copy must not be billed twice."""
        routers = Routers()
        await routers.reserve()

        async def cut(caller, operation):
            if (caller, operation) == ("r1", "put"):
                routers.cut("r1")

        routers.store.faults.after = cut
        completed = await routers.end_answer()
        await routers.kill_and_seal()
        self.assertTrue(completed)
        self.assert_billed(routers, completed)

    async def test_commit_that_arrives_after_the_seal_bills_nothing(self):
        """A commit delayed beyond the seal must not bill beside the late bill."""
        routers = Routers()
        await routers.reserve()

        async def delay(caller, operation):
            if (caller, operation) == ("r1", "put"):
                await asyncio.sleep(20)

        routers.store.faults.before = delay
        completed = await routers.end_answer()
        await routers.seal()
        await routers.sweep(rounds=30)
        self.assertTrue(completed)
        self.assert_billed(routers, completed)
        self.assertEqual(routers.account.doubt, 0)


class CopyOrdersTest(OrdersCase):
    """The kill or the seal comes before or after a copy request and its reply."""

    async def cut_off(self, *lost: str, **options) -> Routers:
        routers = Routers(**options)
        await routers.reserve()
        routers.cut("r1")
        routers.lost = set(lost)
        return routers

    async def test_request_to_witness_lost_does_not_complete(self):
        """An answer that neither ledger nor witness has must not be completed."""
        routers = await self.cut_off("request r2")
        completed = await routers.end_answer()
        self.assertFalse(completed)
        await routers.kill_and_seal()
        self.assert_billed(routers, completed)

    async def test_reply_of_witness_lost_bills_what_ran_once(self):
        """A copy whose reply was lost may be billed, but only once."""
        routers = await self.cut_off("reply r2", "request r3")
        completed = await routers.end_answer()
        self.assertFalse(completed)
        await routers.kill_and_seal()
        self.assert_billed(routers, completed)

    async def test_kill_between_copy_and_end_is_billed_once_with_a_repeat(self):
        """A repeat elsewhere must not be billed beside the witness's copy."""
        for repeat_first in (True, False):
            routers = await self.cut_off()
            ending = asyncio.create_task(routers.end_answer())

            def kill(name, routers=routers, ending=ending):
                if name == "r2":
                    routers.kill("r1")
                    ending.cancel()

            routers.on_kept = kill
            await asyncio.wait([ending])
            self.assertTrue(ending.cancelled())
            if not repeat_first:
                await routers.kill_and_seal()
            await routers.spend(routers.third, "a", TOKENS)
            await routers.kill_and_seal()
            self.assert_billed(routers, completed=True)

    async def test_copy_kept_at_witness_is_billed(self):
        """The witness must bill a completed answer of a killed router."""
        routers = await self.cut_off("request r3")
        self.assertTrue(await routers.end_answer())
        await routers.kill_and_seal()
        self.assert_billed(routers, completed=True)
        self.assertEqual(routers.account.doubt, 0)

    async def test_copy_kept_at_spare_is_billed_when_the_witness_is_killed(self):
        """A spare must bill when holder and witness are killed together."""
        routers = await self.cut_off()
        self.assertTrue(await routers.end_answer())
        routers.kill("r2")
        await routers.kill_and_seal()
        self.assert_billed(routers, completed=True)

    async def test_spare_that_comes_after_the_answer_is_billed(self):
        """Guards against a bill that gets no second keeper once there is one.

        Only the witness can be reached as the answer ends in an outage; the spare can
        be later, and the holder and the witness are killed.
        """
        routers = Routers()
        await routers.reserve()
        routers.cut("r1", "r2")
        routers.lost = {"request r3"}
        self.assertTrue(await routers.end_answer())
        await asyncio.sleep(2)
        routers.lost = set()
        await asyncio.sleep(5)
        routers.kill("r1", "r2")
        await routers.seal()
        await routers.sweep("r3")
        self.assertEqual(routers.account.usage, {"kosice": TOKENS})

    async def test_spare_bills_before_the_witness_closes_once(self):
        """Spare and witness with the same copy must bill it once."""
        for names in (("r2", "r3"), ("r3", "r2")):
            routers = await self.cut_off()
            self.assertTrue(await routers.end_answer())
            routers.kill("r1")
            await routers.seal()
            for name in names:
                await routers.sweep(name, rounds=2)
            self.assert_billed(routers, completed=True)
            self.assertEqual(routers.account.doubt, 0)

    async def test_copy_after_the_witness_closed_does_not_complete(self):
        """A copy that comes after the closing must not complete the answer."""
        routers = await self.cut_off()
        await routers.seal()
        await routers.sweep(rounds=2)
        self.assertFalse(await routers.end_answer())
        routers.kill("r1")
        await routers.sweep()
        self.assert_billed(routers, completed=False)

    async def test_copy_between_seal_and_closing_is_billed(self):
        """A copy that comes after the seal but before the closing must be billed."""
        routers = await self.cut_off("request r3")
        await routers.seal()
        self.assertTrue(await routers.end_answer())
        routers.kill("r1")
        await routers.sweep()
        self.assert_billed(routers, completed=True)

    async def test_holder_back_after_the_witness_billed_bills_once(self):
        """A holder that returns must not bill again what its witness has billed."""
        routers = await self.cut_off()
        self.assertTrue(await routers.end_answer())
        await routers.seal()
        await routers.sweep(rounds=2)
        routers.cut()
        await routers.sweep()
        self.assert_billed(routers, completed=True)

    async def test_spare_without_witness_bills(self):
        """A spare that has the only copy must bill it; a lost reply changes nothing."""
        for lost in ((), ("reply r3",)):
            routers = await self.cut_off(*lost, witness="")
            completed = await routers.end_answer()
            await routers.kill_and_seal()
            self.assertEqual(routers.account.spent, TOKENS)
            self.assert_billed(routers, completed)

    async def test_copy_kept_while_the_witness_reads_an_older_ledger_is_billed(self):
        """A sweep must not drop a copy that is newer than the ledger that it read.

        The witness reads the ledger before the holder's first commit; the response
        arrives after the witness has accepted a copy from that holder.
        """
        routers = Routers()
        await routers.open()
        await routers.second.reserve("pounds", "other", 1)
        response = asyncio.Event()

        async def hold(caller, operation):
            if (caller, operation) == ("r2", "get"):
                await response.wait()

        routers.store.faults.after = hold
        sweeping = asyncio.create_task(routers.sweep("r2", rounds=1))
        await asyncio.sleep(0.01)
        await routers.holder.reserve("pounds", "a", TOKENS, metered=True)
        routers.cut("r1")
        routers.lost = {"request r3"}
        self.assertTrue(await routers.end_answer())
        response.set()
        await sweeping
        await routers.kill_and_seal()
        self.assert_billed(routers, completed=True)


class FrozenOrdersTest(OrdersCase):
    """The account is broken and repaired before or after the end of the answer."""

    async def set_spent(self, routers: Routers, tokens: int) -> None:
        """Change the account as an operator's script would."""

        def change(body):
            changed = copy.deepcopy(body)
            changed["accounts"]["pounds"]["spent"] = tokens
            return changed

        await update(routers.store, LEDGER_KIND, LEDGER_NAME, change)

    async def test_commit_meets_a_broken_account_is_billed_after_its_repair(self):
        """A bill that a commit left out must not count as recorded afterwards."""
        routers = Routers()
        await routers.reserve()
        await self.set_spent(routers, 5_000)
        completed = await routers.end_answer()
        self.assertEqual(routers.account.usage, {})
        await self.set_spent(routers, 0)
        await routers.kill_and_seal()
        self.assert_billed(routers, completed)

    async def test_answer_that_ends_after_the_repair_is_billed(self):
        """A bill that no commit can list must be billed from its copy."""
        routers = Routers()
        await routers.reserve()
        await self.set_spent(routers, 5_000)
        with self.assertRaises(AnvilshiftError):
            await routers.holder.reserve("pounds", "b", 900)
        await self.set_spent(routers, 0)
        completed = await routers.end_answer()
        await routers.kill_and_seal()
        self.assert_billed(routers, completed)


if __name__ == "__main__":
    unittest.main()
