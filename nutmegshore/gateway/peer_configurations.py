"""What other gateways tell of the configuration in force there."""

from collections.abc import Callable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.store import StorePosition

__all__ = ('PeerConfigurations',)

#: Seconds after which a gateway goes on without the word of others. A start
#: waits for peers as long; reports come four or two times a second.
_ALONE_S = 1.5
#: In place of a version, from a gateway that needs the word of others itself.
_UNSETTLED = -1


@attrs.frozen
class _Told:
    """A version in force somewhere, and the position in the store there."""

    version: int = 0
    known_at: StorePosition = StorePosition()


class PeerConfigurations:
    """Finds out whether a restored store hides a configuration from a gateway.

    No gateway goes back to an earlier configuration, but one that starts after
    a restore, or was cut off before it, reads the earlier one and cannot tell.
    It is behind if it has read as much of the store as another gateway had when
    that one told of a later configuration. `is_settled` is false in a new era
    of the store until a settled gateway has told, or this one turns out to have
    been fresh before. `version` is that of the configuration in force here, 0
    without one, and `on_earlier` is called with a gateway that knows the same
    objects and has an earlier configuration.

        words = PeerConfigurations(clock)
        words.hear(StorePosition(2, 41), 7)
        words.is_behind
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a configuration and without a word."""
        self.version = 0
        self.read_position: Callable[[], StorePosition] = StorePosition
        self.on_earlier: Callable[[str], None] = _ignore
        self._clock = clock
        self._newest = _Told()
        # A store that names no era tells of no restore, and is not doubted.
        self._settled_era = 0
        self._doubted_era = 0
        self._doubted_at = float('-inf')

    @property
    def is_behind(self) -> bool:
        """Whether a later configuration is in force elsewhere, unseen here.

        False while this gateway has read less of the store: the later one comes
        with the rest.
        """
        is_later = self._newest.version > self.version
        return is_later and self.read_position() >= self._newest.known_at

    @property
    def is_settled(self) -> bool:
        """Whether a settled gateway in the same era has told, or none does."""
        era = self.read_position().era
        if self._settled_era >= era:
            return True
        now = self._clock.now()
        if era > self._doubted_era:
            self._doubted_era = era
            self._doubted_at = now
        return now - self._doubted_at > _ALONE_S

    @property
    def told(self) -> int:
        """What others are told of the version in force."""
        return self.version if self.is_settled else _UNSETTLED

    def settle(self) -> None:
        """Record that the configuration was fresh as the store's era changed.

        What others know beyond it comes with their next reports.
        """
        era = self.read_position().era
        self._settled_era = max(self._settled_era, era)

    def hear(self, known_at: StorePosition, version: int) -> None:
        """Record the version in force at a gateway, 0 if it does not tell.

        `known_at` is the position of what it knows of the store.
        """
        if version == _UNSETTLED:
            return
        self._settled_era = max(self._settled_era, known_at.era)
        is_earlier = known_at < self._newest.known_at
        if version > self._newest.version or (
            version == self._newest.version and is_earlier
        ):
            self._newest = _Told(version, known_at)

    def compare(self, name: str, version: int) -> None:
        """Compare what a gateway with the same objects has in force."""
        if 0 < version < self.version:
            self.on_earlier(name)


def _ignore(name: str) -> None:
    """Do nothing about a gateway."""
