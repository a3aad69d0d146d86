"""Find out who calls and what they may use."""

import hashlib
import hmac
from dataclasses import replace

from anvilshift.core.clock import Millis
from anvilshift.core.declarations import Catalogue, Organisation, Route
from anvilshift.core.errors import UNAUTHENTICATED, AnvilshiftError
from anvilshift.core.work import Work
from anvilshift.router.requests import Job
from anvilshift.wire.messages import HttpRequest

_SCHEME = "bearer "
BILL_TIME: Millis = 120.0
"""Time before the deadline by which a target must have answered: an answer's
end waits for its bill, or for the witness of its early release."""


def hash_token(token: str) -> str:
    """Return the form in which a token is kept.

    Examples
    --------
    >>> hash_token("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(token.encode()).hexdigest()


def read_token(request: HttpRequest) -> str:
    """Return the bearer token of a request, or an empty string."""
    value = request.headers.get("authorization") or ""
    if value[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return value[len(_SCHEME) :].strip()


def check_token(request: HttpRequest, expected: str) -> bool:
    """Tell in constant time whether a request carries the token of a hash."""
    token = hash_token(read_token(request))
    return bool(expected) and hmac.compare_digest(token, expected)


class Gate:
    """The catalogue in force, with organisations found by credential."""

    def __init__(self) -> None:
        self.catalogue = Catalogue()
        self._by_credential: dict[str, Organisation] = {}
        self._candidates: dict[tuple[str, str], dict[str, int]] = {}
        self._shared: dict[frozenset[tuple[str, int]], dict[str, int]] = {}

    def configure(self, catalogue: Catalogue) -> None:
        """Take in a new catalogue."""
        self.catalogue = catalogue
        self._candidates.clear()
        self._shared.clear()
        self._by_credential = {
            credential: organisation
            for organisation in catalogue.organisations.values()
            for credential in organisation.credentials
        }

    def authenticate(self, request: HttpRequest) -> Organisation:
        """Return the calling organisation.

        The look-up is by the token's hash, so its timing tells nothing of the
        token itself.

        Raises
        ------
        AnvilshiftError
            Code 1004 without a valid credential.
        """
        token = read_token(request)
        found = self._by_credential.get(hash_token(token)) if token else None
        if found is None:
            raise AnvilshiftError(UNAUTHENTICATED)
        return found

    def find_route(self, name: str) -> Route | None:
        """Return a route by its name."""
        return self.catalogue.routes.get(name)

    def make_work(self, job: Job) -> Work:
        """Return what the dispatcher needs of a job."""
        return Work(
            identity=job.identity,
            organisation=job.organisation.name,
            request_class=job.route.request_class,
            candidates=self._list_candidates(job.organisation, job.route),
            prompt_tokens=job.prompt_bound,
            answer_tokens=job.answer_bound,
            deadline=job.deadline - BILL_TIME,
            weight=job.organisation.weight,
            prefixes=job.prefixes,
            content=job.content,
            idempotent=not job.non_idempotent,
            route=job.route.name,
        )

    def renew(self, work: Work) -> Work:
        """Return work with the candidates that are declared for it now.

        Work that waits through a change would else be sent by the old ones.
        """
        organisation = self.catalogue.organisations.get(work.organisation)
        route = self.find_route(work.route)
        if organisation is None or route is None:
            return work
        return replace(work, candidates=self._list_candidates(organisation, route))

    def _list_candidates(
        self, organisation: Organisation, route: Route
    ) -> dict[str, int]:
        # Organisations with the same candidates share one object: the
        # dispatcher knows it again by its identity, and ten thousand pairs of
        # organisation and route cost no more than the few distinct ones.
        key = organisation.name, route.name
        if key not in self._candidates:
            found = self.catalogue.candidates(organisation, route)
            fresh = {c.engine.name: c.priority for c in found}
            shared = self._shared.setdefault(frozenset(fresh.items()), fresh)
            self._candidates[key] = shared
        return self._candidates[key]
