"""Convert between the routers' peer messages and the core's types."""

from collections.abc import Iterable

from anvilshift.core.ledger import Bill
from anvilshift.core.membership import Member, Vitals
from anvilshift.peers.generated.peers_pb2 import (
    Crash,
    Heartbeat,
    KeepRequest,
    PendingBill,
)

Bills = tuple[tuple[str, Bill], ...]


def make_heartbeat(
    member: Member,
    vitals: Vitals,
    leaving_targets: Iterable[str],
    crashes: Iterable[Crash],
) -> Heartbeat:
    """Return the heartbeat message of a router."""
    return Heartbeat(
        router=member.name,
        incarnation=member.incarnation,
        host=member.host,
        address=member.address,
        peer_address=member.peer_address,
        failure_domain=member.failure_domain,
        leaving=member.leaving,
        revision=member.revision,
        beat=member.beat,
        since=member.since,
        seen=member.seen,
        reaches_platform=vitals.reaches_platform,
        renewing_for_ms=vitals.renewing_for,
        serving=vitals.serving,
        in_flight=vitals.in_flight,
        leaving_targets=leaving_targets,
        crashes=crashes,
    )


def read_member(beat: Heartbeat) -> Member:
    """Return the member that sent a heartbeat."""
    return Member(
        beat.router,
        beat.incarnation,
        beat.host,
        beat.address,
        beat.peer_address,
        beat.failure_domain,
        beat.revision,
        beat.leaving,
        beat.beat,
        beat.since,
        beat.seen,
    )


def read_vitals(beat: Heartbeat) -> Vitals:
    """Return the status that a router reports about itself in a heartbeat."""
    return Vitals(
        beat.reaches_platform, beat.renewing_for_ms, beat.serving, beat.in_flight
    )


def make_keep_request(holder: str, bills: Bills, witness: str = "") -> KeepRequest:
    """Return the message that asks a router to keep copies of a holder's bills."""
    pending_bills = [
        PendingBill(
            account=account,
            key=bill.key,
            organisation=bill.organisation,
            tokens=bill.tokens,
            after=bill.after,
        )
        for account, bill in bills
    ]
    return KeepRequest(holder=holder, bills=pending_bills, witness=witness)


def read_bills(request: KeepRequest, wall: int) -> Bills:
    """Return the bills in a request to keep copies.

    Parameters
    ----------
    wall
        Wall-clock seconds to set as the time when the bills were made.
    """
    return tuple(
        (
            item.account,
            Bill(
                item.key,
                item.organisation,
                item.tokens,
                request.holder,
                wall,
                item.after,
            ),
        )
        for item in request.bills
    )
