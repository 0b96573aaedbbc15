"""Tests of the contexts of peer links."""

import pathlib
import ssl

import pytest

from nutmegshore.errors import SettingsError
from nutmegshore.settings import parse_settings, write_example
from nutmegshore.settings.tls import make_peer_contexts

_FILES = pathlib.Path(__file__).parent.parent / 'operators' / 'tls'


def _make(folder, flag='yes'):
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
    """Guards against a peer link that one end takes without a check."""
    contexts = _make(_FILES)
    assert {one.verify_mode for one in contexts} == {ssl.CERT_REQUIRED}
    versions = {one.minimum_version for one in contexts}
    assert versions == {ssl.TLSVersion.TLSv1_2}


def test_peers_without_tls_have_no_contexts(tmp_path):
    """Guards against files that are read where TLS is off."""
    assert _make(tmp_path, 'no') == (None, None)


def test_a_missing_file_is_a_fault_of_the_settings(tmp_path):
    """Guards against peer links that fall back to plain TCP."""
    with pytest.raises(SettingsError):
        _make(tmp_path)
