"""The callers' listener with the look-up and the proxied services."""

import ssl
from collections.abc import Callable

from nutmegshore.callers.forward import CallerForwarder
from nutmegshore.callers.lookup import LookupAnswer
from nutmegshore.callers.responder import CallerResponder, ResponderContext
from nutmegshore.clock import Clock, SystemClock
from nutmegshore.counters import Counters
from nutmegshore.listener import (
    AnswerWriter,
    CallerServer,
    ListenerContext,
    ListenerLimits,
)

__all__ = ('CallerApplication', 'make_caller_application')


class CallerApplication:
    """Opens listeners for callers on behalf of `EntryDaemon`.

    `listener` is what their connections share.
    """

    def __init__(
        self,
        responder_context: ResponderContext,
        limits: ListenerLimits | None = None,
    ) -> None:
        """Create the application; `listen` opens a listener."""
        self._responder_context = responder_context
        self.listener = ListenerContext(
            self._make_responder,
            responder_context.counters,
            limits=limits or ListenerLimits(),
        )

    def listen(
        self,
        port: int,
        address: str,
        context: ssl.SSLContext | None = None,
    ) -> CallerServer:
        """Open the listener; with a context, it uses TLS."""
        server = CallerServer(self.listener, context)
        server.open(port, address)
        return server

    def _make_responder(self, writer: AnswerWriter) -> CallerResponder:
        return CallerResponder(writer, self._responder_context, self.listener)


def make_caller_application(
    forwarder: CallerForwarder,
    lookup: Callable[[str], LookupAnswer],
    counters: Counters,
    clock: Clock | None = None,
    limits: ListenerLimits | None = None,
) -> CallerApplication:
    """Application with the look-up and the proxied services."""
    responder_context = ResponderContext(
        forwarder, lookup, counters, clock or SystemClock()
    )
    return CallerApplication(responder_context, limits)
