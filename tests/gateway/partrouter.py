"""A router's watch over parts, with stubs for all that surrounds it."""

from types import SimpleNamespace

from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.partwatch import PartWatch
from tests.gateway.silent import SilentJournal

SCOPE = "llm/m"


class PartRouter:
    """One router.

    Parameters
    ----------
    issuer
        Router that grants the tries; this one if omitted.

    Attributes
    ----------
    sent
        Messages that it sent, with the address of each receiver.
    ended
        Names of the targets that refuse connections.
    """

    def __init__(self, clock, name="r1", issuer=None, others=("10.0.0.2",)):
        self.clock, self.name = clock, name
        self.sent, self.ended, self.forgiven = [], set(), []
        self.loads = LoadMap()
        self.others = others
        self.issuer = issuer or name
        self.journal = SilentJournal()
        routers = {ip: SimpleNamespace(beat=SimpleNamespace(ip=ip)) for ip in others}
        peers = SimpleNamespace(
            addresses=set(others), small=True, routers=routers, send=self.send
        )
        peers.list_present = self.list_present
        peers.send_each = lambda message, ips: [self.send(message, ip) for ip in ips]
        limits = SimpleNamespace(
            find_issuer=lambda name: self.issuer,
            find_ip=lambda router: None if router == self.name else self.others[0],
        )
        self.peers = peers
        self.watch = PartWatch(
            name,
            limits,
            self.loads,
            peers,
            SimpleNamespace(has_ended=self.has_ended),
            clock,
            self.journal,
            self.forgiven.append,
        )

    def send(self, message, ip):
        self.sent.append((message, ip))

    def list_present(self):
        return list(self.peers.routers.values())

    async def has_ended(self, info):
        return info.name in self.ended

    def declare(self, name, born=1, leaving=False):
        info = TargetInfo(name, "llm", "127.0.0.1:1", "north", 8, leaving, born)
        self.loads.declare(info)
        return info

    def route(self, *shared, model="m"):
        """Return a request whose prompt has some shared parts."""
        parts = tuple((part, 10) for part in (*shared, "own"))
        prompt = Prompt(parts, 10 * len(parts), 5, model)
        call = SimpleNamespace(prompt=prompt, identity="id")
        return SimpleNamespace(service="llm", call=call, model=object())
