import unittest

from anvilshift.gateway.datagrams import MAX_DATAGRAM, decode, encode, pack
from anvilshift.gateway.messages import (
    Ask,
    Beat,
    Begun,
    Farewell,
    Gift,
    Held,
    Lack,
    Leaving,
    Marked,
    Sent,
    Settled,
)

MESSAGES = [
    Beat(
        "n1",
        "n1.aa",
        "10.0.0.1",
        "10.0.0.1:80",
        "north",
        7,
        True,
        False,
        True,
        ("10.0.0.2",),
    ),
    Sent("n1.aa/1", "e1", (("p", 3), ("q", 4)), 7, 50, 3, True),
    Held("e1", (("p", 3),)),
    Begun("n1.aa/1", "e1"),
    Begun("n1.aa/1", "e1", (3, 1, 8, 250.0), 12.5, (0.5, 0.0, 0.0)),
    Leaving("e1"),
    Ask("n1.aa", 4, "10.0.0.1", "pounds", 500, False),
    Gift("n2.bb", 3, "n1.aa", "pounds", 250),
    Lack("n1.aa", 4, "pounds", False, 812.5),
    Settled("n1.aa", "n2.bb", (("pounds", 12),)),
    Farewell("n1.aa", (("pounds", 12),)),
    Marked(((7, 1250.5), (9, 850.0))),
]


class MessagesTest(unittest.TestCase):
    def test_decoding_restores_every_message(self):
        datagrams = pack(encode(message) for message in MESSAGES)
        found = [message for datagram in datagrams for message in decode(datagram)]
        self.assertEqual(found, MESSAGES)

    def test_datagrams_stay_below_the_fragmentation_limit(self):
        datagrams = pack([b"x" * 400] * 10)
        self.assertEqual(len(datagrams), 4)
        self.assertTrue(all(len(one) <= MAX_DATAGRAM for one in datagrams))

    def test_malformed_messages_raise_an_error(self):
        broken = [b'["Leaving","e1"] 1', b'["Leaving",5]', b'["Leaving","e1"]\n']
        for data in (
            *(b"", b"{}", b"[]", b'["Beat"]', b'["Other",1]', b"\xff", b"[[1]]"),
            *broken,
        ):
            with self.subTest(data), self.assertRaises(ValueError):
                decode(data)
