"""What a listener needs of the answer to one request."""

import abc

from nutmegshore.errors import NutmegshoreError
from nutmegshore.listener.answer import AnswerWriter
from nutmegshore.listener.body import CallerBody

__all__ = ('Responder',)


class Responder(abc.ABC):
    """Answers one request that a connection has read.

    The connection builds it once the head is read, and sets `body`. It calls
    `run` when the request may start. It
    calls `refuse` instead where the head itself was not acceptable. An error
    that `run` raises aborts the connection, because the answer has begun. After
    any other exception the connection calls `refuse`, unless the answer has
    begun.
    """

    def __init__(self, writer: AnswerWriter) -> None:
        """Answer through the writer; there is no body yet."""
        self.writer = writer
        self.body: CallerBody | None = None

    @property
    def request_id(self) -> str:
        """The caller's id of the request, empty if it has none."""
        return ''

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have received the request."""
        return False

    @property
    def may_run_ahead(self) -> bool:
        """Whether `run` may be called while an answer ahead is outstanding.

        It may only for a request that may run more than once: if an answer
        ahead closes the connection, `run` is cancelled and the caller sends the
        request again. Such a responder calls `writer.wait_turn` before it
        limits the time of a write. The connection asks after `body` is set.
        """
        return False

    @abc.abstractmethod
    async def run(self) -> None:
        """Answer the request whose head and body are set."""

    @abc.abstractmethod
    async def refuse(self, error: NutmegshoreError) -> None:
        """Answer with an error's kind and outcome."""
