"""The headers of upstreams that support this system natively."""

import re
from http import HTTPStatus

from nutmegshore.errors import ErrorKind
from nutmegshore.upstreams.base import (
    AnswerHead,
    Dialect,
    Headers,
    UpstreamReport,
    UpstreamRequest,
)

__all__ = ('OwnDialect',)

_DEADLINE = 'Nutmegshore-Deadline-Ms'
_REQUEST_ID = 'Nutmegshore-Request-Id'
_LEAVING = 'nutmegshore-leaving'
_LOAD = 'nutmegshore-load'
_NOT_RUN = 'nutmegshore-not-run'
_YES = '1'
#: Busy slots; a longer number is none that an upstream can have.
_COUNT = re.compile('[0-9]{1,9}')


class OwnDialect(Dialect):
    """Headers with the prefix `Nutmegshore-`."""

    def request_headers(
        self,
        request: UpstreamRequest,
        remaining_ms: int,
    ) -> Headers:
        """Deadline and request id."""
        return (
            (_DEADLINE, str(remaining_ms)),
            (_REQUEST_ID, request.request_id),
        )

    def read_request_id(self, head: AnswerHead) -> str | None:
        """The id that the request carried, from upstreams that echo it."""
        return head.fields.get(_REQUEST_ID.lower())

    def read_refusal(self, head: AnswerHead) -> ErrorKind | None:
        """`UPSTREAM_REFUSED` if the upstream did not run the request.

        A 503 without the not-run header is no refusal: an upstream may send it
        after it has done a part of the work.
        """
        says_not_run = head.fields.get(_NOT_RUN) == _YES
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE and says_not_run:
            return ErrorKind.UPSTREAM_REFUSED
        return None

    def read_report(self, head: AnswerHead) -> UpstreamReport | None:
        """Leaving flag and busy slots that an answer reports, if any."""
        is_leaving = head.fields.get(_LEAVING) == _YES
        load = head.fields.get(_LOAD, '')
        if _COUNT.fullmatch(load) is not None:
            return UpstreamReport(is_leaving, int(load))
        return UpstreamReport(is_leaving) if is_leaving else None
