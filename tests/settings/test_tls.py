"""Tests of the TLS contexts of peer links."""

import pathlib
import ssl

import pytest

from nutmegshore.errors import SettingsError
from nutmegshore.settings import parse_settings, write_example
from nutmegshore.settings.tls import make_peer_contexts

_TLS_FILES = pathlib.Path(__file__).parent.parent / 'operators' / 'tls'


def _make_contexts(folder, flag='yes'):
    lines = [
        '[tls]',
        f'certificate = {folder}/server.pem',
        f'key = {folder}/server.key',
        f'client_ca = {folder}/ca.pem',
    ]
    text = write_example('vestfold').replace('[tls]', '\n'.join(lines))
    text = text.replace('[peers]', f'[peers]\ntls = {flag}')
    return make_peer_contexts(parse_settings(text))


def test_both_ends_of_a_peer_link_check_the_certificate():
    """Guards against a peer link that one end accepts unverified."""
    contexts = _make_contexts(_TLS_FILES)
    assert {context.verify_mode for context in contexts} == {ssl.CERT_REQUIRED}
    versions = {context.minimum_version for context in contexts}
    assert versions == {ssl.TLSVersion.TLSv1_2}


def test_peers_without_tls_have_no_contexts(tmp_path):
    """Guards against TLS files that are read although TLS is disabled."""
    assert _make_contexts(tmp_path, 'no') == (None, None)


def test_a_missing_file_is_a_settings_error(tmp_path):
    """Guards against peer links that fall back to plain TCP."""
    with pytest.raises(SettingsError):
        _make_contexts(tmp_path)
