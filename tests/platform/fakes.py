"""A platform in memory and links to it that can be cut."""

from anvilshift.core.errors import PLATFORM_DOWN, AnvilshiftError
from anvilshift.peers.link import PeerError
from anvilshift.platform.relayed import call_store
from anvilshift.platform.store import (
    Change,
    Changes,
    ConflictError,
    Listing,
    Stored,
    UncertainError,
)


class Platform:
    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.writes = 0

    def write(self, kind, name, body, version):
        found = self.objects.get((kind, name))
        if (found.version if found else 0) != version:
            raise ConflictError(name)
        self.revision += 1
        self.writes += 1
        if body is None:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = Stored(kind, name, self.revision, body)
        self.history.append(Change(kind, name, self.revision, body))
        return Stored(kind, name, self.revision, body or {})


class Way:
    """One router's way to the platform."""

    def __init__(self, platform):
        self.platform = platform
        self.cut = False
        self.lose_next_answer = False
        self.calls = 0

    def _reach(self):
        self.calls += 1
        if self.cut:
            raise AnvilshiftError(PLATFORM_DOWN)

    def _answer(self, value):
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise UncertainError("lost")
        return value

    async def get(self, kind, name):
        self._reach()
        return self.platform.objects.get((kind, name))

    async def list(self, kinds):
        self._reach()
        items = [o for (k, _), o in self.platform.objects.items() if k in set(kinds)]
        return Listing(self.platform.revision, tuple(items))

    async def put(self, kind, name, body, version):
        self._reach()
        return self._answer(self.platform.write(kind, name, body, version))

    async def delete(self, kind, name, version):
        self._reach()
        return self._answer(self.platform.write(kind, name, None, version)).version

    async def watch(self, kinds, after, wait):
        self._reach()
        found = [c for c in self.platform.history if c.version > after]
        return Changes(self.platform.revision, tuple(found))

    async def hosts(self):
        self._reach()
        return ()


class Link:
    """A peer link that carries only store calls, to the ways of peers."""

    def __init__(self, ways):
        self.ways = ways
        self.lose_next_reply = False

    async def call_store(self, address, request, timeout):
        if address not in self.ways:
            raise PeerError("refused", sent=False)
        reply = await call_store(self.ways[address], request)
        if self.lose_next_reply:
            self.lose_next_reply = False
            raise PeerError("lost")
        return reply
