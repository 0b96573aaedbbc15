"""Adapter that checks each request against the quarantine."""

import collections

from nutmegshore.callers import CallerRequest, RequestGate
from nutmegshore.errors import ErrorKind
from nutmegshore.quarantine import Fingerprint, Quarantine, fingerprint

__all__ = ('QuarantineGate',)

_MAX_FINGERPRINTS = 10_000


class QuarantineGate(RequestGate):
    """Refuses quarantined requests and reports how requests end."""

    def __init__(self, quarantine: Quarantine) -> None:
        """Use the quarantine of this entry."""
        self._quarantine = quarantine
        self._by_request_id: collections.OrderedDict[str, Fingerprint] = (
            collections.OrderedDict()
        )

    def check(self, request: CallerRequest) -> None:
        """Raise `RequestError` if the request must not run anywhere."""
        self._quarantine.check(self._fingerprint(request))

    def allows(self, request: CallerRequest, upstream: str) -> bool:
        """Whether the request may run in the named upstream now."""
        found = self._fingerprint(request)
        return self._quarantine.is_allowed(found, upstream)

    def started(self, request: CallerRequest, upstream: str) -> None:
        """Do nothing; only the end of a run is reported."""

    def finished(
        self,
        request: CallerRequest,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Report how the run ended."""
        found = self._fingerprint(request)
        self._quarantine.finished(found, upstream, failure)

    def _fingerprint(self, request: CallerRequest) -> Fingerprint:
        found = self._by_request_id.get(request.request_id)
        if found is None:
            found = fingerprint(
                request.service,
                request.method,
                request.target,
                request.body_start,
            )
            self._by_request_id[request.request_id] = found
            if len(self._by_request_id) > _MAX_FINGERPRINTS:
                self._by_request_id.popitem(last=False)
        return found
