"""Messages between routers about how full they are.

They are soft state like the others, and are sent again while they matter.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class RouterLoad:
    """How full the sender is.

    Parameters
    ----------
    used
        Share of its scarcest resource that is used.
    is_full
        Whether callers are to be told of others.
    """

    router: str
    used: float
    is_full: bool
