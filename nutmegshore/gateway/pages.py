"""HTTP server for small status pages of a gateway."""

import asyncio
import functools
from collections.abc import Callable, Mapping

import attrs
from tornado.iostream import StreamClosedError

from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, NutmegshoreError, RequestError
from nutmegshore.faults import Faults
from nutmegshore.listener import (
    AnswerWriter,
    CallerServer,
    ListenerContext,
    Responder,
)

__all__ = ('PageResponse', 'PageResponder', 'open_pages')

_TEXT = 'text/plain; charset=utf-8'
#: Connections of one page; its clients are few and known.
_MAX_CONNECTIONS = 64
#: Seconds for a client to receive a page.
_WRITE_TIMEOUT_S = 5


@attrs.frozen
class PageResponse:
    """Response of a page."""

    status: int
    body: bytes
    content_type: str = _TEXT


#: Builds the response for a request's target.
MakePage = Callable[[str], PageResponse]


class PageResponder(Responder):
    """Answers requests with the function registered for their path."""

    def __init__(
        self,
        writer: AnswerWriter,
        pages: Mapping[str, MakePage],
    ) -> None:
        """Answer one request."""
        super().__init__(writer)
        self._pages = pages

    async def run(self) -> None:
        """Answer the request whose head is set."""
        head = self.writer.request
        self.writer.keeps_alive &= self.body.is_whole
        make_page = self._pages.get(head.path)
        if make_page is None:
            await self.refuse(RequestError(ErrorKind.NO_ROUTE, head.target))
            return
        page = make_page(head.target)
        headers = (('Content-Type', page.content_type),)
        await self._write(page.status, headers, page.body)

    async def refuse(self, error: NutmegshoreError) -> None:
        """Answer with the status of an error and its kind as text."""
        text = error.kind.value.encode()
        headers = (('Content-Type', _TEXT),)
        await self._write(error.answer.status, headers, text)

    async def _write(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        try:
            async with asyncio.timeout(_WRITE_TIMEOUT_S):
                await self.writer.write_own(status, headers, body)
        except TimeoutError as failure:
            self.writer.abort()
            raise StreamClosedError from failure


def open_pages(
    address: str,
    pages: Mapping[str, MakePage],
    counters: Counters,
    faults: Faults,
) -> CallerServer:
    """Serve pages by path at IP:port."""
    make_responder = functools.partial(PageResponder, pages=pages)
    server = CallerServer(
        ListenerContext(
            make_responder,
            counters,
            faults=faults,
            max_connections=_MAX_CONNECTIONS,
        )
    )
    host, _, port = address.rpartition(':')
    server.open(int(port), host)
    return server
