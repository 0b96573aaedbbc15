"""Acceptance of API keys while the configuration is recent enough."""

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RefusedError, RequestError
from nutmegshore.gateway.customer import Customer
from nutmegshore.gateway.key_events import KeysOutdated, KeysTrusted
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.route import Route
from nutmegshore.gateway.state import FleetState
from nutmegshore.platform.bounds import Bounds

__all__ = ('KEY_AGE_FRACTION', 'KeyAge')

#: Fraction of `RevokeS` for which keys are accepted without a newer
#: confirmation of the configuration. Views are normally confirmed before 0.6 of
#: it; the rest covers clock drift and the failure of the gateway that had to
#: call the store.
KEY_AGE_FRACTION = 0.9
#: Retry-After in seconds: other gateways may be fresh, and reports that confirm
#: the configuration come as often as this.
_RETRY_S = 0.5
#: Seconds from which an age stands for any greater one.
_UNKNOWN_S = 3600
_DIGITS = 3
_COUNTER = 'key_checks_refused'


@attrs.define
class _Period:
    """A time in which keys are not accepted."""

    began_at: float
    refused: int = 0


class KeyAge:
    """Finds the customers of keys while the configuration is young enough.

    With the bound `StrictRevoke`, a key is accepted only if the configuration
    shows all that the store had less than `KEY_AGE_FRACTION` of `RevokeS` ago.
    A key that it lacks is refused for good only while the configuration is
    within the bound on applying one: the key may have been added since, and
    callers do not repeat a 401.

        customer = key_age.authenticate(route, 'k-7f3a')
        key_age.check(route, customer, 'k-7f3a')  # before each attempt
    """

    def __init__(
        self,
        state: FleetState,
        clock: Clock,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Judge the keys of one gateway; nothing is strict before `bounds`."""
        self.bounds = Bounds()
        self._state = state
        self._clock = clock
        self._counters = counters
        self._log = log
        self._answered_at = float('-inf')
        self._period: _Period | None = None

    @property
    def age_s(self) -> float:
        """Greatest seconds since the store showed the configuration in force.

        After a restore of the store its answers count as soon as another
        gateway has told which configuration it has in force.
        """
        now = self._clock.now()
        words = self._state.peer_configurations
        limit_s = KEY_AGE_FRACTION * self.bounds.revoke_s
        if not words.is_settled and now - self._answered_at < limit_s:
            words.settle()
        if words.is_settled:
            view = self._state.configuration_view
            self._answered_at = max(self._answered_at, now - view.age_s)
        return now - self._answered_at

    @property
    def limit_s(self) -> float:
        """Age from which no key is accepted; infinite if none is too old."""
        if not self.bounds.is_revoke_strict:
            return float('inf')
        return KEY_AGE_FRACTION * self.bounds.revoke_s

    @property
    def is_outdated(self) -> bool:
        """Whether no key is accepted at this gateway."""
        return self._has_customers and self._is_outdated()

    def is_too_old(self, age_s: float) -> bool:
        """Whether a gateway whose configuration is so old accepts no key."""
        return self._has_customers and age_s >= self.limit_s

    def authenticate(self, route: Route, api_key: str) -> Customer | None:
        """Return the customer of a key, None if the request needs none.

        Raise `RequestError` if the route needs a key, and none was given, or
        the given one is unknown, or keys are not accepted.
        """
        customers = self._state.configuration.customers
        if not customers.is_enabled:
            return None
        customer = customers.find(api_key)
        if not route.is_public:
            self._check_known(route, customer, api_key)
        return customer

    def check(
        self, route: Route, customer: Customer | None, api_key: str
    ) -> None:
        """Raise `RequestError` unless a key is still good for an attempt."""
        if customer is None or route.is_public:
            return
        self.authenticate(route, api_key)

    def observe(self) -> None:
        """Log if keys are not accepted any more, or again; call this often."""
        age_s = self._shown_age_s()
        is_outdated = self.is_outdated
        if is_outdated and self._period is None:
            self._period = _Period(self._clock.now())
            self._log.write(
                KeysOutdated(
                    age_s,
                    round(self.limit_s, _DIGITS),
                    is_behind=self._state.peer_configurations.is_behind,
                )
            )
        elif self._period is not None and not is_outdated:
            period = self._period
            self._period = None
            lasted_s = self._clock.now() - period.began_at
            self._log.write(
                KeysTrusted(
                    age_s,
                    round(lasted_s, _DIGITS),
                    period.refused,
                )
            )

    def _check_known(
        self, route: Route, customer: Customer | None, api_key: str
    ) -> None:
        """Raise `RequestError` unless the key is that of the customer."""
        if not api_key:
            raise RequestError(ErrorKind.UNKNOWN_KEY, route.name)
        is_refused = self._is_outdated()
        if customer is None:
            is_refused = is_refused or self._may_lack_keys()
        if is_refused:
            raise self._refuse(route)
        if customer is None:
            raise RequestError(ErrorKind.UNKNOWN_KEY, route.name)

    def _refuse(self, route: Route) -> RefusedError:
        self.observe()
        if self._period is not None:
            self._period.refused += 1
        self._counters.add(_COUNTER)
        detail = f'{route.name}: configuration {self._shown_age_s()} s old'
        return RefusedError(ErrorKind.KEYS_OUTDATED, detail, _RETRY_S)

    @property
    def _has_customers(self) -> bool:
        configuration = self._state.configuration
        return configuration is not None and configuration.customers.is_enabled

    def _is_outdated(self) -> bool:
        if not self.bounds.is_revoke_strict:
            return False
        is_behind = self._state.peer_configurations.is_behind
        return is_behind or self.age_s >= self.limit_s

    def _may_lack_keys(self) -> bool:
        """Whether a key may have been in force for long, and is not here."""
        is_behind = self._state.peer_configurations.is_behind
        return is_behind or self.age_s > self.bounds.configuration_s

    def _shown_age_s(self) -> float:
        """The age for logs; -1 if nothing bounds it."""
        age_s = self.age_s
        return -1 if age_s >= _UNKNOWN_S else round(age_s, _DIGITS)
