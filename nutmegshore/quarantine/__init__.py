"""Detection of requests that crash the upstreams that run them."""

from nutmegshore.quarantine.fingerprint import Fingerprint, fingerprint
from nutmegshore.quarantine.quarantine import Quarantine
from nutmegshore.quarantine.suspects import Suspects, Verdict

__all__ = (
    'Fingerprint',
    'Quarantine',
    'Suspects',
    'Verdict',
    'fingerprint',
)
