"""TLS contexts of the listeners and of peer connections."""

import ssl

from nutmegshore.errors import SettingsError
from nutmegshore.settings.parse import EntrySettings

__all__ = ('make_peer_contexts', 'make_tls_context')

_TLS = 'tls'


def make_tls_context(
    settings: EntrySettings,
    section: str,
) -> ssl.SSLContext | None:
    """Create the context of a listener; None if its section has `tls = no`.

    With `client_ca`, a client certificate is optional and is verified if
    presented; a client without one needs a token. Raises `SettingsError` for
    files that cannot be read. A reload creates a new context, because a CA
    cannot be removed from an existing one.
    """
    if not settings.get(section, _TLS):
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_files(context, settings)
    return context


def make_peer_contexts(
    settings: EntrySettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Create the server and client contexts of peer links.

    Both are None if `[peers]` has `tls = no`. Both sides present a certificate
    issued by the CA. Host names are not checked, because peers are addressed by
    IP address and the hello message proves knowledge of the cluster key. Raises
    `SettingsError` for files that cannot be read.
    """
    server = make_tls_context(settings, 'peers')
    if server is None:
        return None, None
    server.verify_mode = ssl.CERT_REQUIRED
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_files(client, settings)
    client.verify_mode = ssl.CERT_REQUIRED
    return server, client


def _load_files(context: ssl.SSLContext, settings: EntrySettings) -> None:
    certificate = settings.get(_TLS, 'certificate')
    client_ca = settings.get(_TLS, 'client_ca')
    try:
        context.load_cert_chain(certificate, settings.get(_TLS, 'key'))
        if client_ca:
            context.load_verify_locations(client_ca)
    except (OSError, ValueError) as failure:
        message = f'[tls] {certificate}, {client_ca}: {failure}'
        raise SettingsError([message]) from failure
    if client_ca:
        context.verify_mode = ssl.CERT_OPTIONAL
