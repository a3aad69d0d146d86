import unittest

from anvilshift.core.allocators import AllocatorMap, list_allocators

ROUTERS = [f"router-{n}" for n in range(32)]
ORGANISATIONS = [f"organisation-{n}" for n in range(24)]


class AllocatorsTest(unittest.TestCase):
    def test_few_routers_keep_the_tokens_of_many_organisations(self):
        """If 32 routers wrote shares of every total, nearly all writes would conflict.

        All shares are in one object, which changes by conditional update.
        """
        found = {k for name in ORGANISATIONS for k in list_allocators(name, ROUTERS)}
        self.assertEqual(len(found), 4)

    def test_every_router_computes_the_same_allocators(self):
        for name in ORGANISATIONS:
            shuffled = list_allocators(name, list(reversed(ROUTERS)))
            self.assertEqual(list_allocators(name, ROUTERS), shuffled)

    def test_the_second_allocator_becomes_first_when_the_first_leaves(self):
        for name in ORGANISATIONS:
            first, second = list_allocators(name, ROUTERS[:4])
            left = [one for one in ROUTERS[:4] if one != first]
            self.assertEqual(list_allocators(name, left)[0], second)

    def test_the_allocators_stay_when_another_router_leaves(self):
        kept = {k for name in ORGANISATIONS for k in list_allocators(name, ROUTERS)}
        gone = next(one for one in ROUTERS if one not in kept)
        left = [one for one in ROUTERS if one != gone]
        for name in ORGANISATIONS:
            self.assertEqual(
                list_allocators(name, ROUTERS), list_allocators(name, left)
            )


class AllocatorMapTest(unittest.TestCase):
    def test_two_routers_keep_all_tokens_where_writes_are_spared(self):
        """Guards against writers that conflict; the others stay deputies."""
        for routers, keepers in ((8, 4), (9, 2), (32, 2)):
            maps = [AllocatorMap(one, is_sparing=True) for one in ROUTERS[:routers]]
            for one in maps:
                one.set_routers(set(ROUTERS[:routers]))
            kept = {k for name in ORGANISATIONS for k in maps[0].list_allocators(name)}
            self.assertEqual(len(kept), keepers)
            agreed = {tuple(map(one.list_allocators, ORGANISATIONS)) for one in maps}
            self.assertEqual(len(agreed), 1)
            deputies = [one.list_deputies("pounds") for one in maps]
            self.assertEqual(max(map(len, deputies)), 2)

    def test_a_single_router_is_the_first_allocator_of_everything(self):
        allocators = AllocatorMap("r1")
        self.assertEqual(allocators.find_rank("pounds"), 0)
        self.assertEqual(allocators.list_others("pounds"), ())

    def test_ranks_are_computed_from_the_live_routers(self):
        maps = [AllocatorMap(name) for name in ROUTERS[:3]]
        for one in maps:
            self.assertTrue(one.set_routers(set(ROUTERS[:3])))
            self.assertFalse(one.set_routers(set(ROUTERS[:3])))
        ranks = [one.find_rank("pounds") for one in maps]
        self.assertCountEqual(ranks, [0, 1, None])
