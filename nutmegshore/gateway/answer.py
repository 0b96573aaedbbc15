"""An upstream's answer on its way to the caller."""

from http import HTTPStatus

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.listener import AnswerWriter
from nutmegshore.listener.headers import answer_headers
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import AnswerHead, AnswerReceiver

__all__ = ('HeldAnswer',)

#: Bytes of an answer that are held until it is whole. A failure before that
#: can still be answered with an error or another attempt; a longer answer is
#: passed on as it arrives.
HELD_BYTES = 262_144
#: Statuses by which we promise that a request has not run.
_PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


class HeldAnswer(AnswerReceiver):
    """Holds an answer until it is whole, then writes it unchanged.

    `has_begun` is true once bytes have gone to the caller. An answer to
    another request, or one that was altered on the way, is not accepted; nor
    is a status that would promise the caller of a request that may run once
    only that it has not run.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        dialect: PlatformDialect,
        request_id: str,
        *,
        is_safe: bool,
    ) -> None:
        """Answer one request through the writer of its connection."""
        self.has_begun = False
        self.head: AnswerHead | None = None
        self._writer = writer
        self._dialect = dialect
        self._request_id = request_id
        self._is_safe = is_safe
        self._held = bytearray()

    async def begin(self, head: AnswerHead) -> None:
        """Check and keep the head."""
        self._held.clear()
        self.head = None
        if not self._dialect.is_answer_to(head, self._request_id):
            raise RequestError(ErrorKind.UPSTREAM_SPOILED, self._request_id)
        if head.status in _PROMISES and not self._is_safe:
            raise RequestError(ErrorKind.UPSTREAM_LOST, f'status {head.status}')
        self.head = head

    async def receive(self, chunk: bytes) -> None:
        """Keep a piece, or pass it on once the answer is too long to hold."""
        if self.has_begun:
            await self._writer.receive(chunk)
            return
        self._held += chunk
        if len(self._held) > HELD_BYTES:
            self.has_begun = True
            await self._writer.begin(self.head)
            await self._writer.receive(bytes(self._held))
            self._held.clear()

    async def finish(self) -> None:
        """Write what is held; the answer is whole."""
        if self.has_begun:
            await self._writer.finish()
            return
        self.has_begun = True
        headers = answer_headers(self.head.headers)
        status = self.head.status
        await self._writer.write_own(status, headers, bytes(self._held))
