"""Commented example settings of an entry in each example deployment."""

from types import MappingProxyType

import attrs

__all__ = ('DEPLOYMENTS', 'write_example')


@attrs.frozen
class _ExampleInstance:
    name: str
    region: str
    availability_zone: str
    cluster: str


DEPLOYMENTS = MappingProxyType(
    {
        'vestfold': _ExampleInstance(
            'o-a-1', 'ostlandet', 'ostlandet-a', 'vestfold'
        ),
        'patelwadi': _ExampleInstance('w-a-1', 'west', 'west-a', 'patelwadi'),
    }
)

_TEMPLATE = """\
# Settings of one nutmegshore entry. Check with: nutmegshore settings check FILE
# Every key that is commented out shows its default.

[instance]
# Name of this instance, unique in the cluster.
name = {name}
# Where this instance runs; both must be declared by a region object.
region = {region}
availability_zone = {availability_zone}
# Memory of the instance in MB and its number of descriptors, from which the
# limits on callers follow; by default 512 and the limit of the process.
# memory_mb =
# max_fds =

[callers]
# Listener for callers: IP address and port.
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
# Key shared by all entries of the cluster, at least 16 characters.
key = replace-this-example-key
# tls = no

[platform]
# Base URL of the object API; its host is an IP address.
url = http://127.0.0.1:9000

[tls]
# PEM files, reloaded on SIGHUP.
# certificate = /run/nutmegshore/certificate.pem
# key = /run/nutmegshore/key.pem
# client_ca = /run/nutmegshore/clients.pem

[lookup]
# How long callers may use a lookup answer, in seconds. A stopping entry
# continues to serve for this long.
# lifetime_seconds = 5

[limits]
# Largest request body on the operator listener, in bytes, and the largest
# number of watches that may wait at the same time.
# operator_body_bytes = 1000000
# operator_watches = 64
# Largest request body of a caller, in bytes.
# caller_body_bytes = 67108864

[logs]
# Log format: json, or console for human-readable lines.
# form = json
"""


def write_example(deployment: str) -> str:
    """Build the settings of one entry; KeyError for an unknown deployment."""
    return _TEMPLATE.format(**attrs.asdict(DEPLOYMENTS[deployment]))
