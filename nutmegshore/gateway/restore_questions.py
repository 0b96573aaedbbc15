"""Questions of a gateway that starts: what do others hold back?"""

from collections.abc import Iterable
from types import MappingProxyType

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import RestoreAnswer, RestoreQuestion
from nutmegshore.gateway.peer_word import PeerWord
from nutmegshore.gateway.report_checks import check_answer
from nutmegshore.gateway.state_objects import make_answer, read_answer
from nutmegshore.gateway.sync_dependencies import PeeringDependencies

__all__ = ('RestoreQuestions',)

#: Seconds after the start for which other gateways are asked: beyond them the
#: owners have written again what a restore before it has taken away.
_START_S = 3
#: Seconds between two looks for a neighbour to ask.
_INTERVAL_S = 0.05
#: Seconds after which an answer counts as lost, and another one is asked.
_ANSWER_WAIT_S = 0.2
#: Seconds after which the view of a gateway is that of one that was cut off.
_MAX_AGE_S = 10
#: Name of this part in reports of faults.
_PART = 'restore questions'


class RestoreQuestions:
    """Asks other gateways what they hold back since a restore of the store.

    A gateway that starts between a restore and the owners' next writes reads
    the copy, and nothing in it shows what was lost. It asks its neighbours one
    after the other until one of them knows. It waits for none: the answer is
    applied when it comes. Who starts as well answers that it knows nothing.

        questions = RestoreQuestions(dependencies, followers)
        await questions.run()
    """

    def __init__(
        self,
        dependencies: PeeringDependencies,
        followers: Iterable[KindFollower],
    ) -> None:
        """Subscribe to the questions and answers of others."""
        self._peers = dependencies.peers
        self._clock = dependencies.clock
        self._counters = dependencies.counters
        self._faults = dependencies.log.faults
        self._followers = MappingProxyType(
            {follower.prefix: follower for follower in followers},
        )
        self._started_at = dependencies.clock.now()
        self._asked_at: dict[str, float] = {}
        self._answer_due_at = float('-inf')
        self._peers.subscribe(RestoreQuestion, self._handle_question)
        self._peers.subscribe(RestoreAnswer, self._handle_answer)

    async def run(self) -> None:
        """Ask until each kind is answered, or the start is over."""
        while self._is_starting and self._awaiting():
            if self._clock.now() >= self._answer_due_at:
                with self._faults.contain(_PART):
                    self._ask_next()
            await self._clock.sleep(_INTERVAL_S)

    @property
    def _is_starting(self) -> bool:
        return self._clock.now() - self._started_at < _START_S

    def _awaiting(self) -> list[KindFollower]:
        followers = self._followers.values()
        return [one for one in followers if one.feed.awaits_word]

    def _ask_next(self) -> None:
        """Ask the next neighbour that was not asked yet."""
        left = [
            name
            for name in self._peers.neighbours()
            if name not in self._asked_at
        ]
        if not left:
            return
        # Gateways that start together ask different ones.
        local = self._peers.local.name
        name = min(left, key=lambda one: (one < local, one))
        eras = {
            follower.prefix: follower.known.position.era
            for follower in self._awaiting()
        }
        now = self._clock.now()
        self._asked_at[name] = now
        self._answer_due_at = now + _ANSWER_WAIT_S
        self._peers.send(name, RestoreQuestion(eras))

    def _handle_question(self, sender: str, question: RestoreQuestion) -> None:
        for prefix in question.eras.keys() & self._followers.keys():
            follower = self._followers[prefix]
            answer = RestoreAnswer(prefix)
            if self._has_word(follower):
                answer = make_answer(follower, question.eras[prefix])
            self._peers.send(sender, answer)

    def _handle_answer(self, sender: str, answer: RestoreAnswer) -> None:
        check_answer(answer)
        follower = self._followers.get(answer.prefix)
        asked_at = self._asked_at.get(sender)
        if follower is None or asked_at is None or not self._is_starting:
            return
        word = read_answer(answer, self._clock.now() - asked_at)
        if word is None:
            # The next one may know.
            self._answer_due_at = self._clock.now()
        elif _is_believed(word, follower):
            is_recent = follower.outages.may_lack_entries
            follower.feed.hear(word, is_after_outage=is_recent)
            self._counters.add('restore_words', kind=follower.prefix)

    def _has_word(self, follower: KindFollower) -> bool:
        """Whether this gateway knows what a restore before now has changed."""
        is_settled = not (self._is_starting and follower.feed.awaits_word)
        return follower.is_listed and is_settled


def _is_believed(word: PeerWord, follower: KindFollower) -> bool:
    """Whether a word is the first one, and of a store that is there."""
    is_withdrawn = follower.order.is_withdrawn(word.found.era)
    is_late = word.age_s > _MAX_AGE_S or not follower.feed.awaits_word
    return not (is_withdrawn or is_late)
