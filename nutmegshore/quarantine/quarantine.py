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

_COMPLETED_KEPT = 10_000
#: A verdict with less than this left, in seconds, is not taken from another
#: entry: it ends here and there at about the same time.
_LEAST_LEFT_S = 1

#: Takes a request, the upstream whose loss led to the verdict ('' where
#: another entry told of it), and the verdict.
OnJudged = Callable[[Fingerprint, str, Verdict], None]


class Quarantine:
    """Watches how requests end and refuses those that crash upstreams.

    `usable` gives the upstreams of a service that may be used now, and
    `is_explained` whether the loss of an upstream has another cause (a
    declared drain, the platform's list, the loss of its region).

        quarantine.check(found)
        quarantine.is_allowed(found, 'orders-3')
        quarantine.finished(found, 'orders-3', failure)

    `on_judged` is called with the fingerprint, the lost upstream and the new
    verdict whenever a request gets another one.
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        counters: Counters,
        usable: Callable[[str], Collection[str]],
        is_explained: Callable[[str], bool],
    ) -> None:
        """Share losses and completions with the other entries."""
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._usable = usable
        self._is_explained = is_explained
        self._log = get_logger('quarantine')
        self.on_judged: OnJudged = self._log_verdict
        self._suspects = Suspects()
        self._completed: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )
        peers.subscribe(CrashReport, self._handle_report)
        peers.subscribe(CrashCleared, self._take_cleared)
        peers.subscribe(Verdicts, self._take_verdicts)

    @property
    def digest(self) -> int:
        """The same at all entries that refuse the same requests; 0 for none."""
        digest = 0
        for one in self._suspects.quarantined(self._clock.now()):
            digest ^= zlib.crc32(f'{one.service} {one.digest}'.encode())
        return digest

    def send_verdicts(self, name: str) -> None:
        """Send another entry all requests that are refused here."""
        found = self._suspects.quarantined(self._clock.now())
        listed = [
            [one.service, one.digest, remaining_s]
            for one, remaining_s in found.items()
        ]
        self._peers.send(name, Verdicts(listed))

    def refused_s(self, fingerprint: Fingerprint) -> float:
        """Seconds for which a request is still refused; 0 if it is not."""
        return self._suspects.refused_s(fingerprint, self._clock.now())

    def assigned(self, fingerprint: Fingerprint) -> str:
        """The upstream that a suspect has to run on; '' if it may run on any.

        '' is also the answer where no upstream is usable.
        """
        now = self._clock.now()
        if self._suspects.verdict(fingerprint, now) is Verdict.CLEAR:
            return ''
        usable = self._usable(fingerprint.service)
        return self._suspects.assigned(fingerprint, usable, now)

    def check(self, fingerprint: Fingerprint) -> None:
        """Raise `RequestError` for a quarantined request."""
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
        """Take note of how a request ended on an upstream."""
        if failure is None:
            self._record_completion(fingerprint)
        elif failure is ErrorKind.UPSTREAM_LOST:
            self._record_loss(fingerprint, upstream)

    def _record_completion(self, fingerprint: Fingerprint) -> None:
        self._completed[fingerprint] = self._clock.now()
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > _COMPLETED_KEPT:
            self._completed.popitem(last=False)
        if self._suspects.clear(fingerprint):
            self._peers.broadcast(_cleared(fingerprint))

    def _record_loss(self, fingerprint: Fingerprint, upstream: str) -> None:
        if self._is_explained(upstream) or self._has_completed(fingerprint):
            return
        self._judge(fingerprint, upstream)
        self._peers.broadcast(
            CrashReport(fingerprint.service, fingerprint.digest, upstream),
        )

    def _judge(self, fingerprint: Fingerprint, upstream: str) -> None:
        now = self._clock.now()
        before = self._suspects.verdict(fingerprint, now)
        verdict = self._suspects.record_loss(fingerprint, upstream, now)
        if verdict is before:
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
        """Whether the same request was answered here shortly before."""
        completed_at = self._completed.get(fingerprint)
        if completed_at is None:
            return False
        return self._clock.now() - completed_at <= SUSPICION_S

    def _handle_report(self, sender: str, report: CrashReport) -> None:
        fingerprint = Fingerprint(report.service, report.digest)
        if self._has_completed(fingerprint):
            self._peers.broadcast(_cleared(fingerprint))
            return
        if not self._is_explained(report.upstream):
            self._judge(fingerprint, report.upstream)

    def _take_verdicts(self, sender: str, verdicts: Verdicts) -> None:
        now = self._clock.now()
        for service, digest, remaining_s in verdicts.listed:
            found = Fingerprint(service, digest)
            if self._has_completed(found):
                self._peers.broadcast(_cleared(found))
            elif remaining_s >= _LEAST_LEFT_S and not self.refused_s(found):
                self._suspects.adopt(found, remaining_s, now)
                self.on_judged(found, '', Verdict.QUARANTINED)

    def _take_cleared(self, sender: str, cleared: CrashCleared) -> None:
        self._suspects.clear(Fingerprint(cleared.service, cleared.digest))


def _cleared(fingerprint: Fingerprint) -> CrashCleared:
    return CrashCleared(fingerprint.service, fingerprint.digest)
