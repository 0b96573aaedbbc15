"""Choice of the connection that is closed so that others can be served."""

from collections.abc import Iterable

from nutmegshore.listener.connection import CallerConnection

__all__ = ('choose_stalled', 'choose_victim')

#: Seconds without progress after which a request counts as stalled. Callers on
#: slow links pause for less.
_STALLED_S = 1


def choose_victim(
    connections: Iterable[CallerConnection],
) -> CallerConnection | None:
    """Return the longest idle connection, else the one stalled longest."""
    present = [one for one in connections if not one.is_closed()]
    present.sort(key=_waited_s, reverse=True)
    for one in present:
        # A request may have arrived that was not read yet.
        if one.is_idle and not one.has_waiting():
            return one
    return choose_stalled(present)


def choose_stalled(
    connections: Iterable[CallerConnection],
) -> CallerConnection | None:
    """Return the connection with a request that is stalled for longest.

    None if none is stalled.
    """
    stalled = [
        one
        for one in connections
        if not (one.is_idle or one.is_closed()) and one.waited_s > _STALLED_S
    ]
    return max(stalled, key=_waited_s, default=None)


def _waited_s(connection: CallerConnection) -> float:
    return connection.waited_s
