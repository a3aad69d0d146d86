"""A caller's request with its route."""

from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.origins import Origin, make_stream_key
from anvilshift.core.routing import ModelLimits, OrganisationBudget, Rule
from anvilshift.gateway.border import Call
from anvilshift.wire.messages import HttpRequest


@dataclass(frozen=True)
class RoutedRequest:
    """A caller's request with its route and the service that is to run it.

    Parameters
    ----------
    arrived, end
        When it arrived, and its deadline.
    payer
        The organisation that pays; None for an anonymous request.
    model
        Limits of the service's model; None for a plain service.
    pause
        Longest allowed pause between two events of the service's streams.
    origin
        Where the stream began that it takes up; None for a new request.
    """

    request: HttpRequest
    call: Call
    arrived: Millis
    end: Millis
    rule: Rule
    payer: OrganisationBudget | None
    service: str
    model: ModelLimits | None
    pause: Millis
    origin: Origin | None = None

    @property
    def caller_end(self) -> Millis:
        """Return until when the caller can take up its stream."""
        patience = self.call.patience
        return self.arrived + (self.rule.timeout if patience is None else patience)

    @property
    def stream_key(self) -> str:
        """Return the key of its stream, which a caller takes up under another id."""
        organisation = self.payer.name if self.payer else ""
        began_as = self.call.began_as if self.origin is not None else None
        return make_stream_key(organisation, began_as or self.call.identity)
