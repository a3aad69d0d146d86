"""Messages between routers about drained failure domains.

They are soft state like the others, and are sent again while they matter.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class DrainsTold:
    """What the sender knows of the drained failure domains.

    Parameters
    ----------
    ip
        Address of the sender.
    revision
        Revision of the store up to which it knows all changes; 0 if it knows nothing.
    drains
        The drains in force: failure domain, revision, and milliseconds since a router
        first knew it.
    """

    ip: str
    revision: int
    drains: tuple[tuple[str, int, float], ...]
