"""Commented example settings of both deployments."""

from types import MappingProxyType

import attrs

__all__ = ('DEPLOYMENTS', 'write_example')


@attrs.frozen
class _Place:
    name: str
    region: str
    availability_zone: str
    cluster: str


DEPLOYMENTS = MappingProxyType(
    {
        'vestfold': _Place('o-a-1', 'ostlandet', 'ostlandet-a', 'vestfold'),
        'patelwadi': _Place('w-a-1', 'west', 'west-a', 'patelwadi'),
    }
)

_TEMPLATE = """\
# Settings of one nutmegshore entry. Check with: nutmegshore settings check FILE
# Every key that is commented out shows its default.

[instance]
# Name of this instance, unlike every other in the cluster.
name = {name}
# Where this instance runs; both must be declared by a region object.
region = {region}
availability_zone = {availability_zone}

[callers]
# Listener for callers: IP number and port.
address = 127.0.0.1
port = 8080
# tls = no

[operators]
# Listener for operators. It needs tokens, client certificates, or on a
# loopback address unauthenticated = yes.
address = 127.0.0.1
port = 8081
# tls = no
unauthenticated = yes
# One line each: NAME read|write HASH. Make one with: nutmegshore token NAME
# tokens =
#     ann write sha256:SALT:DIGEST
#     board read sha256:SALT:DIGEST
# Common names of client certificates; they need tls = yes and client_ca.
# subjects =
#     ann write

[peers]
# Listener for the other entries; port 0 lets the system choose.
# address = 127.0.0.1
port = 8082
cluster = {cluster}
# Shared by all entries of the cluster, at least 16 characters.
key = replace-this-example-key
# tls = no

[platform]
# Base URL of the object API, by IP number.
url = http://127.0.0.1:9000

[tls]
# PEM files; read again on SIGHUP.
# certificate = /run/nutmegshore/certificate.pem
# key = /run/nutmegshore/key.pem
# client_ca = /run/nutmegshore/clients.pem

[lookup]
# How long callers may use a look-up answer. A stopping entry serves on for
# this long.
# lifetime_seconds = 5

[limits]
# Largest body of a call to the operator listener, and how many watches may
# wait at once.
# operator_body_bytes = 1000000
# operator_watches = 64

[logs]
# json, or console for people.
# form = json
"""


def write_example(deployment: str) -> str:
    """Settings of one entry; raises KeyError for an unknown deployment."""
    return _TEMPLATE.format(**attrs.asdict(DEPLOYMENTS[deployment]))
