"""Passes on the configuration in force where a restored store lacks it."""

from nutmegshore.clock import Clock
from nutmegshore.gateway.messages import ConfigurationInForce
from nutmegshore.gateway.replicas import ConfigurationReplica
from nutmegshore.peers import Peers
from nutmegshore.store import StoredObject

__all__ = ('ConfigurationExchange',)

#: Seconds after which the configuration is sent once more to a gateway that
#: still reports an earlier one.
_REPEAT_S = 1


class ConfigurationExchange:
    """Sends the configuration in force to gateways that cannot read it.

    `send` is called for a gateway that knows the same objects of the store and
    has an earlier configuration in force: the store was restored, and this
    gateway has kept what the store has lost.

        exchange = ConfigurationExchange(peers, clock, replica)
        exchange.send('gateway-3')
    """

    def __init__(
        self, peers: Peers, clock: Clock, replica: ConfigurationReplica
    ) -> None:
        """Subscribe to what other gateways have in force."""
        self._peers = peers
        self._clock = clock
        self._replica = replica
        self._sent_at: dict[str, float] = {}
        peers.subscribe(ConfigurationInForce, self._handle_told)

    def send(self, name: str) -> None:
        """Send the configuration to a gateway, at most once a second."""
        now = self._clock.now()
        stored = self._replica.in_force
        is_recent = now - self._sent_at.get(name, float('-inf')) < _REPEAT_S
        if stored is None or is_recent:
            return
        self._sent_at = {
            one: sent_at
            for one, sent_at in self._sent_at.items()
            if now - sent_at < _REPEAT_S
        }
        self._sent_at[name] = now
        body = ConfigurationInForce(
            stored.key, stored.body, stored.uid, stored.version
        )
        self._peers.send(name, body)

    def _handle_told(self, sender: str, told: ConfigurationInForce) -> None:
        self._replica.apply_told(
            StoredObject(told.key, told.body, told.uid, told.version, '')
        )
