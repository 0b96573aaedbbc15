"""Construction of an entry's operator listener from its settings."""

import random
import ssl
from collections.abc import Callable

import attrs
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.operators.access import Access
from nutmegshore.operators.api import OperatorApi
from nutmegshore.operators.changes import ChangeLog
from nutmegshore.operators.declare import Declarer
from nutmegshore.operators.listener import OperatorServer
from nutmegshore.operators.providers import Providers
from nutmegshore.operators.server import make_operator_application
from nutmegshore.settings import EntrySettings, make_tls_context
from nutmegshore.store import Platform, make_operation

__all__ = ('OperatorSide', 'make_operator_side')

_SECTION = 'operators'
#: Multiple of the body limit up to which a body is read, so that the sender of
#: a larger body than allowed gets an answer instead of a closed connection.
_BODY_MARGIN = 2
#: Connections beside those of watches.
_MAX_CONNECTIONS = 64


@attrs.define
class OperatorSide:
    """The operator listener and its components; `listen` opens it."""

    settings: EntrySettings
    api: OperatorApi
    access: Access
    context: ssl.SSLContext | None
    server: OperatorServer | None = None

    def listen(self) -> OperatorServer:
        """Open the listener that the settings name."""
        limit = self.settings.get('limits', 'operator_body_bytes')
        watches = self.settings.get('limits', 'operator_watches')
        self.server = OperatorServer(
            make_operator_application(self.api, self.access, limit),
            counters=self.api.counters,
            max_connections=watches + _MAX_CONNECTIONS,
            ssl_options=self.context,
            max_body_size=limit * _BODY_MARGIN,
        )
        self.server.listen(
            self.settings.get(_SECTION, 'port'),
            self.settings.get(_SECTION, 'address'),
        )
        return self.server

    def reload(self, settings: EntrySettings) -> None:
        """Use other credentials and TLS files for new connections and calls.

        Turning TLS on or off needs a restart. Raises `SettingsError` and
        changes nothing if the files cannot be read.
        """
        context = make_tls_context(settings, _SECTION)
        if context and self.context and self.server:
            self.server.ssl_options = context
        self.access.replace(settings.access)


def make_operator_side(
    settings: EntrySettings,
    platform: Platform,
    table: ConfigurationTable,
    counters: Counters,
    providers: Providers | None = None,
    check_ready: Callable[[], None] | None = None,
) -> OperatorSide:
    """Build the operator side.

    `check_ready` raises an error while writes must be refused.
    """
    # Operation ids and the epoch must differ after a restart.
    rng = random.SystemRandom()
    changes = ChangeLog(
        table,
        make_operation(rng),
        settings.get('limits', 'operator_watches'),
    )
    api = OperatorApi(
        Declarer(platform, table, rng, check_ready),
        table,
        changes,
        providers or Providers(),
        counters,
    )
    return OperatorSide(
        settings,
        api,
        Access(settings.access, counters),
        make_tls_context(settings, _SECTION),
    )
