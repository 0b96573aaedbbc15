"""Authentication of operators and their read and write roles."""

import enum
import hashlib
import hmac
import ipaddress
import random

import attrs

from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, ObjectError

__all__ = (
    'Access',
    'AccessList',
    'ClientIdentity',
    'Credential',
    'Grant',
    'Role',
    'TokenHash',
    'make_token',
    'parse_subject',
    'parse_token',
)

_SALT_BITS = 128
_TOKEN_BITS = 256
_ALGORITHM = 'sha256'
_BEARER = 'bearer '
_ANONYMOUS = 'unauthenticated'


class Role(enum.Enum):
    """What a credential permits; write includes read."""

    READ = 'read'
    WRITE = 'write'


@attrs.frozen
class Credential:
    """An operator by name, with the role that the settings give."""

    name: str
    role: Role


@attrs.frozen
class TokenHash:
    """A token as stored in the settings: a salt and a salted SHA-256.

    A fast hash is enough because tokens have 256 random bits; it would not
    be for passwords that a person chooses.
    """

    salt: str
    digest: str

    def matches(self, token: str) -> bool:
        """Compare in constant time."""
        return hmac.compare_digest(self.digest, _digest(self.salt, token))

    def __str__(self) -> str:
        """Form in the settings, `sha256:SALT:DIGEST`."""
        return f'{_ALGORITHM}:{self.salt}:{self.digest}'


@attrs.frozen
class Grant:
    """One line of the settings: a token or a certificate's common name."""

    credential: Credential
    token: TokenHash | None = None


@attrs.frozen
class AccessList:
    """All credentials that the settings allow.

    `allows_unauthenticated` applies to calls from loopback addresses only.
    """

    tokens: tuple[Grant, ...] = ()
    subjects: tuple[Grant, ...] = ()
    allows_unauthenticated: bool = False


@attrs.frozen
class ClientIdentity:
    """What a request says about its sender.

    `subject` is the common name of the client certificate.
    """

    authorization: str = ''
    subject: str = ''
    remote_ip: str = ''


class Access:
    """Checks each call; `replace` takes effect on the next call.

    access = Access(AccessList(tokens=(parse_token(line),)), counters)
    credential = access.check(ClientIdentity('Bearer 5f...'), Role.WRITE)
    """

    def __init__(self, allowed: AccessList, counters: Counters) -> None:
        """Check calls against a list; counts each refusal by its reason."""
        self._allowed = allowed
        self._counters = counters

    def replace(self, allowed: AccessList) -> None:
        """Use another list from now on."""
        self._allowed = allowed

    def check(self, caller: ClientIdentity, role: Role) -> Credential:
        """Find the credential, or raise unauthorized or forbidden."""
        credential = self._find(caller)
        if credential is None:
            raise self._refuse(ErrorKind.UNAUTHORIZED, 'no valid credential')
        if role == Role.WRITE and credential.role != Role.WRITE:
            message = f'{credential.name} may not write'
            raise self._refuse(ErrorKind.FORBIDDEN, message)
        return credential

    def _refuse(self, kind: ErrorKind, message: str) -> ObjectError:
        self._counters.add('operator_refusals', reason=kind.value)
        return ObjectError(kind, message)

    def _find(self, caller: ClientIdentity) -> Credential | None:
        if caller.authorization:
            return self._find_token(caller.authorization)
        for grant in self._allowed.subjects:
            if caller.subject and grant.credential.name == caller.subject:
                return grant.credential
        if self._allowed.allows_unauthenticated:
            if _is_loopback(caller.remote_ip):
                return Credential(_ANONYMOUS, Role.WRITE)
        return None

    def _find_token(self, authorization: str) -> Credential | None:
        if not authorization.lower().startswith(_BEARER):
            return None
        token = authorization.partition(' ')[2].strip()
        # Compare with every token, so that the duration does not reveal
        # which one matched.
        matches = [
            grant.credential
            for grant in self._allowed.tokens
            if grant.token and grant.token.matches(token)
        ]
        return matches[0] if matches else None


def parse_token(line: str) -> Grant:
    """Read `NAME ROLE sha256:SALT:DIGEST`, or raise ValueError."""
    name, role, hashed = line.split()
    algorithm, salt, digest = hashed.split(':')
    size = hashlib.sha256().digest_size
    if algorithm != _ALGORITHM or len(bytes.fromhex(digest)) != size:
        raise ValueError('not a salted hash')
    if not bytes.fromhex(salt):
        raise ValueError('no salt')
    token = TokenHash(salt.lower(), digest.lower())
    return Grant(Credential(name, Role(role)), token)


def parse_subject(line: str) -> Grant:
    """Read `COMMON-NAME ROLE`, or raise ValueError."""
    name, role = line.split()
    return Grant(Credential(name, Role(role)))


def make_token(rng: random.Random) -> tuple[str, TokenHash]:
    """Make a token and its hash for the settings.

    `rng` is `random.SystemRandom()` outside of tests.
    """
    token = '{0:064x}'.format(rng.getrandbits(_TOKEN_BITS))
    salt = '{0:032x}'.format(rng.getrandbits(_SALT_BITS))
    return token, TokenHash(salt, _digest(salt, token))


def _digest(salt: str, token: str) -> str:
    salted = bytes.fromhex(salt) + token.encode()
    return hashlib.sha256(salted).hexdigest()


def _is_loopback(address: str) -> bool:
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return False
