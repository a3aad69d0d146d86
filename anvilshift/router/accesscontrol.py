"""Authenticate callers and find the targets that they may use."""

import hashlib
import hmac
from dataclasses import replace

from anvilshift.core.clock import Millis
from anvilshift.core.declarations import Catalogue, Organisation, Route
from anvilshift.core.errors import UNAUTHENTICATED, AnvilshiftError
from anvilshift.core.work import Work
from anvilshift.router.requests import Job
from anvilshift.wire.messages import HttpRequest

_AUTH_SCHEME = "bearer "
BILLING_MARGIN: Millis = 120.0
"""Time before the deadline by which a target must have answered.  The end of the
answer then waits until its bill is recorded or, for an early release, until the
witness has a copy."""


def hash_token(token: str) -> str:
    """Return the SHA-256 hash under which a token is stored.

    Examples
    --------
    >>> hash_token("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(token.encode()).hexdigest()


def read_token(request: HttpRequest) -> str:
    """Return the bearer token of a request, or an empty string if it has none."""
    value = request.headers.get("authorization") or ""
    if value[: len(_AUTH_SCHEME)].lower() != _AUTH_SCHEME:
        return ""
    return value[len(_AUTH_SCHEME) :].strip()


def check_token(request: HttpRequest, expected: str) -> bool:
    """Tell whether a request's token has an expected hash; compare in constant time."""
    token = hash_token(read_token(request))
    return bool(expected) and hmac.compare_digest(token, expected)


class AccessControl:
    """The current catalogue, with an index of organisations by credential."""

    def __init__(self) -> None:
        self.catalogue = Catalogue()
        self._by_credential: dict[str, Organisation] = {}
        self._candidates: dict[tuple[str, str], dict[str, int]] = {}
        self._distinct_candidates: dict[frozenset[tuple[str, int]], dict[str, int]] = {}

    def configure(self, catalogue: Catalogue) -> None:
        """Replace the catalogue and rebuild the index."""
        self.catalogue = catalogue
        self._candidates.clear()
        self._distinct_candidates.clear()
        self._by_credential = {
            credential: organisation
            for organisation in catalogue.organisations.values()
            for credential in organisation.credentials
        }

    def authenticate(self, request: HttpRequest) -> Organisation:
        """Return the calling organisation.

        The lookup uses the token's hash, so its timing reveals nothing about the
        token itself.

        Raises
        ------
        AnvilshiftError
            Code 1004 if the request has no valid credential.
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
        """Return the work that the dispatcher schedules for a job."""
        return Work(
            identity=job.identity,
            organisation=job.organisation.name,
            request_class=job.route.request_class,
            candidates=self._list_candidates(job.organisation, job.route),
            prompt_tokens=job.max_prompt_tokens,
            answer_tokens=job.max_answer_tokens,
            deadline=job.deadline - BILLING_MARGIN,
            weight=job.organisation.weight,
            prefixes=job.prefixes,
            content=job.content,
            idempotent=not job.non_idempotent,
            route=job.route.name,
        )

    def renew(self, work: Work) -> Work:
        """Return work with its candidates from the current catalogue.

        Otherwise, work that waits while the catalogue changes would be sent to the
        old candidates.
        """
        organisation = self.catalogue.organisations.get(work.organisation)
        route = self.find_route(work.route)
        if organisation is None or route is None:
            return work
        return replace(work, candidates=self._list_candidates(organisation, route))

    def _list_candidates(
        self, organisation: Organisation, route: Route
    ) -> dict[str, int]:
        # Organisations with the same candidates share one dictionary.  The
        # dispatcher recognises it by object identity, so ten thousand pairs of
        # organisation and route cost no more than the few distinct dictionaries.
        key = organisation.name, route.name
        if key not in self._candidates:
            found = self.catalogue.candidates(organisation, route)
            fresh = {c.engine.name: c.priority for c in found}
            shared = self._distinct_candidates.setdefault(
                frozenset(fresh.items()), fresh
            )
            self._candidates[key] = shared
        return self._candidates[key]
