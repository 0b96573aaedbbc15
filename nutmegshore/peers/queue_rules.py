"""Rules for messages while they wait to be sent."""

import functools
from typing import Any

import attrs

from nutmegshore.peers.messages import Relay

__all__ = ('NO_RULE', 'QueueRule', 'queue_rule')


@attrs.frozen
class QueueRule:
    """What becomes of a message that waits to be sent.

    A later message with the same `slot` to the same member takes its place;
    '' stands for none. Messages that describe a state have a slot, those that
    tell of a change have none. A message that `expires` is dropped once it has
    waited so long that its receiver learned what it says in another way.
    """

    slot: str = ''
    expires: bool = False


#: For messages that are sent in any case.
NO_RULE = QueueRule()


@functools.singledispatch
def queue_rule(body: Any) -> QueueRule:
    """Return the rule of a message; by default it is sent in any case.

    @queue_rule.register
    def _(body: LoadReport) -> QueueRule:
        return QueueRule(slot='LoadReport', expires=True)
    """
    return NO_RULE


@queue_rule.register
def _(body: Relay) -> QueueRule:
    slot = f'{body.origin} {body.target} {body.slot}' if body.slot else ''
    return QueueRule(slot, body.expires)
