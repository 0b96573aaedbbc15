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

    The functions in `on_restore` are called with the new and the previous era,
    those in `on_unreadable` with the text of an era that cannot be read.
    """

    def __init__(self) -> None:
        """Start before the first answer."""
        self.newest = 0
        self.on_restore: list[Callable[[int, int], None]] = []
        self.on_unreadable: list[Callable[[str], None]] = []

    def observe(self, era: int) -> None:
        """Record the era of an answer."""
        previous = self.newest
        if era <= previous:
            return
        self.newest = era
        if previous:
            for handle_restore in self.on_restore:
                handle_restore(era, previous)

    def reject(self, text: str) -> None:
        """Record an answer whose era cannot be read."""
        for handle_unreadable in self.on_unreadable:
            handle_unreadable(text)
