"""The histories of a store that is restored from older copies."""

from collections.abc import Callable

__all__ = ('StoreEras',)


class StoreEras:
    """The newest era of a store that any of its answers has named.

    A store that is restored from an older copy loses what it acknowledged
    since the copy, and gives the same revisions out again. Each time its era
    rises by one. Era 0 stands for a store that names none.

        eras = StoreEras()
        eras.on_restore.append(log_restore)
        eras.observe(4)
        eras.observe(5)  # calls log_restore(5, 4)

    An era that the store names no more is withdrawn. Until an answer names it
    once again, no other gateway is believed that it exists.

    The functions in `on_restore` are called with the new and the previous era,
    also when that one is withdrawn. Those in `on_answer` get the era of each
    answer, and those in `on_unreadable` the text of an era that cannot be read.
    """

    def __init__(self) -> None:
        """Start before the first answer."""
        self.newest = 0
        self.on_restore: list[Callable[[int, int], None]] = []
        self.on_answer: list[Callable[[int], None]] = []
        self.on_unreadable: list[Callable[[str], None]] = []
        self._withdrawn: int | None = None

    def observe(self, era: int) -> None:
        """Record the era of an answer."""
        if era > self.newest:
            self._change_to(era)
        for handle_answer in self.on_answer:
            handle_answer(era)

    def adopt(self, era: int) -> None:
        """Record the era of objects that another gateway sent."""
        if era > self.newest and not self.is_withdrawn(era):
            self._change_to(era)

    def withdraw(self, era: int) -> None:
        """Return to an earlier era, the only one that the store still names."""
        withdrawn = self.newest
        self._change_to(era)
        self._withdrawn = withdrawn

    def is_withdrawn(self, era: int) -> bool:
        """Whether an era was withdrawn and not named since."""
        return era == self._withdrawn

    def reject(self, text: str) -> None:
        """Record an answer whose era cannot be read."""
        for handle_unreadable in self.on_unreadable:
            handle_unreadable(text)

    def _change_to(self, era: int) -> None:
        previous = self.newest
        self.newest = era
        if self.is_withdrawn(era):
            self._withdrawn = None
        if previous:
            for handle_restore in self.on_restore:
                handle_restore(era, previous)
