"""A port of callers before a gateway's context, over real sockets."""

import contextlib

import attrs

from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.responder import GatewayResponder
from nutmegshore.listener import CallerServer, ListenerContext


@attrs.frozen
class CallerPort:
    """An open port, and what serves it."""

    port: int
    forwarder: GatewayForwarder
    server: CallerServer


@contextlib.asynccontextmanager
async def open_caller_port(context, **limits):
    """Serve callers within the context; `limits` replace the listener's."""
    forwarder = GatewayForwarder(context)
    listener = ListenerContext(
        lambda writer: GatewayResponder(writer, context, forwarder, listener),
        context.counters,
        faults=context.log.faults,
    )
    listener.limits = attrs.evolve(listener.limits, **limits)
    server = CallerServer(listener)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.close_all_connections)
        stack.callback(server.stop)
        yield CallerPort(server.open(0, '127.0.0.1'), forwarder, server)
