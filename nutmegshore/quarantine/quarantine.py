"""Refusal of requests that crash upstreams, agreed between entries."""

import collections
import zlib
from collections.abc import Callable, Collection

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.logs import get_logger
from nutmegshore.peers import Peers
from nutmegshore.quarantine.fingerprint import Fingerprint
from nutmegshore.quarantine.messages import (
    CrashCleared,
    CrashReport,
    Verdicts,
)
from nutmegshore.quarantine.suspects import SUSPICION_S, Suspects, Verdict

__all__ = ('Quarantine',)

_MAX_COMPLETED = 10_000
#: A verdict of another entry with fewer seconds remaining is ignored: it
#: expires at both entries at about the same time.
_MIN_REMAINING_S = 1

#: Called with a request, the upstream whose loss led to the verdict ('' for
#: a verdict adopted from another entry), and the verdict.
OnJudged = Callable[[Fingerprint, str, Verdict], None]


class Quarantine:
    """Tracks how requests end and refuses those that crash upstreams.

    `usable` returns the upstreams of a service that may be used now, and
    `is_explained` whether the loss of an upstream has another cause (a
    declared drain, the platform's list, the loss of its region).

        quarantine.check(fingerprint)  # raises RequestError
        quarantine.is_allowed(fingerprint, 'orders-3')
        quarantine.finished(fingerprint, 'orders-3', failure)

    `on_judged` is called with the fingerprint, the lost upstream and the new
    verdict whenever the verdict on a request changes to suspect or
    quarantined.
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        counters: Counters,
        usable: Callable[[str], Collection[str]],
        is_explained: Callable[[str], bool],
    ) -> None:
        """Share losses and completions with the other entries by `peers`."""
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._usable = usable
        self._is_explained = is_explained
        self._log = get_logger('quarantine')
        self.on_judged: OnJudged = self._log_verdict
        self._suspects = Suspects()
        self._completed_at: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )
        peers.subscribe(CrashReport, self._handle_report)
        peers.subscribe(CrashCleared, self._handle_cleared)
        peers.subscribe(Verdicts, self._handle_verdicts)

    @property
    def digest(self) -> int:
        """Checksum of the refused requests, in any order; 0 for none.

        Entries that refuse the same requests have the same digest.
        """
        digest = 0
        for refused in self._suspects.quarantined(self._clock.now()):
            digest ^= zlib.crc32(f'{refused.service} {refused.digest}'.encode())
        return digest

    def send_verdicts(self, name: str) -> None:
        """Send all requests that are refused here to the entry `name`."""
        remaining_by_fingerprint = self._suspects.quarantined(self._clock.now())
        refusals = [
            [refused.service, refused.digest, remaining_s]
            for refused, remaining_s in remaining_by_fingerprint.items()
        ]
        self._peers.send(name, Verdicts(refusals))

    def refused_s(self, fingerprint: Fingerprint) -> float:
        """Seconds until a request is accepted again; 0 if it is not refused."""
        return self._suspects.refused_s(fingerprint, self._clock.now())

    def assigned(self, fingerprint: Fingerprint) -> str:
        """The only upstream that a suspect may run on; '' if it may run on any.

        Also returns '' if no upstream is usable.
        """
        now = self._clock.now()
        if self._suspects.verdict(fingerprint, now) is Verdict.CLEAR:
            return ''
        usable = self._usable(fingerprint.service)
        return self._suspects.assigned(fingerprint, usable, now)

    def check(self, fingerprint: Fingerprint) -> None:
        """Raise `RequestError` of kind `QUARANTINED` for a refused request."""
        verdict = self._suspects.verdict(fingerprint, self._clock.now())
        if verdict is Verdict.QUARANTINED:
            raise RequestError(ErrorKind.QUARANTINED, fingerprint.digest)

    def is_allowed(self, fingerprint: Fingerprint, upstream: str) -> bool:
        """Whether the request may run on this upstream."""
        now = self._clock.now()
        if self._suspects.verdict(fingerprint, now) is Verdict.CLEAR:
            return True
        usable = self._usable(fingerprint.service)
        return self._suspects.assigned(fingerprint, usable, now) == upstream

    def finished(
        self,
        fingerprint: Fingerprint,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Record how a request ended on an upstream; `None` is success."""
        if failure is None:
            self._record_completion(fingerprint)
        elif failure is ErrorKind.UPSTREAM_LOST:
            self._record_loss(fingerprint, upstream)

    def _record_completion(self, fingerprint: Fingerprint) -> None:
        self._completed_at[fingerprint] = self._clock.now()
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > _MAX_COMPLETED:
            self._completed_at.popitem(last=False)
        if self._suspects.clear(fingerprint):
            self._peers.broadcast(_make_cleared(fingerprint))

    def _record_loss(self, fingerprint: Fingerprint, upstream: str) -> None:
        if self._is_explained(upstream) or self._has_completed(fingerprint):
            return
        self._evaluate(fingerprint, upstream)
        self._peers.broadcast(
            CrashReport(fingerprint.service, fingerprint.digest, upstream),
        )

    def _evaluate(self, fingerprint: Fingerprint, upstream: str) -> None:
        now = self._clock.now()
        previous = self._suspects.verdict(fingerprint, now)
        verdict = self._suspects.record_loss(fingerprint, upstream, now)
        if verdict is previous:
            return
        if verdict is Verdict.QUARANTINED:
            self._counters.add('quarantined', service=fingerprint.service)
        self.on_judged(fingerprint, upstream, verdict)

    def _log_verdict(
        self,
        fingerprint: Fingerprint,
        upstream: str,
        verdict: Verdict,
    ) -> None:
        if verdict is Verdict.QUARANTINED:
            self._log.warning(
                'request quarantined',
                service=fingerprint.service,
                digest=fingerprint.digest,
                upstream=upstream,
            )

    def _has_completed(self, fingerprint: Fingerprint) -> bool:
        """Whether the request completed here within the last `SUSPICION_S`."""
        last_completed_at = self._completed_at.get(fingerprint)
        if last_completed_at is None:
            return False
        return self._clock.now() - last_completed_at <= SUSPICION_S

    def _handle_report(self, sender: str, report: CrashReport) -> None:
        fingerprint = Fingerprint(report.service, report.digest)
        if self._has_completed(fingerprint):
            self._peers.broadcast(_make_cleared(fingerprint))
            return
        if not self._is_explained(report.upstream):
            self._evaluate(fingerprint, report.upstream)

    def _handle_verdicts(self, sender: str, verdicts: Verdicts) -> None:
        now = self._clock.now()
        for service, digest, remaining_s in verdicts.refusals:
            fingerprint = Fingerprint(service, digest)
            if self._has_completed(fingerprint):
                self._peers.broadcast(_make_cleared(fingerprint))
            elif remaining_s >= _MIN_REMAINING_S and not self.refused_s(
                fingerprint
            ):
                self._suspects.adopt(fingerprint, remaining_s, now)
                self.on_judged(fingerprint, '', Verdict.QUARANTINED)

    def _handle_cleared(self, sender: str, cleared: CrashCleared) -> None:
        self._suspects.clear(Fingerprint(cleared.service, cleared.digest))


def _make_cleared(fingerprint: Fingerprint) -> CrashCleared:
    return CrashCleared(fingerprint.service, fingerprint.digest)
