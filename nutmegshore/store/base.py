"""Interface of the platform's object API."""

import abc

import attrs

__all__ = (
    'MAX_BODY_BYTES',
    'WATCH_WAIT_S',
    'Change',
    'Changes',
    'Expected',
    'ListedInstance',
    'Listing',
    'ListingPage',
    'Platform',
    'StoredObject',
)

MAX_BODY_BYTES = 1_000_000
#: Seconds that a watch waits for changes unless told otherwise.
WATCH_WAIT_S = 30


@attrs.frozen
class StoredObject:
    """An object as the platform keeps it.

    `uid` changes when an object is removed and created again, `version` rises
    with each write of one uid, and `operation` is the id that the last writer
    chose for its write.
    """

    key: str
    body: bytes
    uid: str
    version: int
    operation: str


@attrs.frozen
class Expected:
    """The uid and version that a conditional write requires.

    Both are compared: a version alone starts again after a removal, so that a
    writer with an old reading could match a new object.
    """

    uid: str
    version: int

    @classmethod
    def of(cls, stored: StoredObject) -> 'Expected':
        """The condition that the object is still as it was read."""
        return cls(stored.uid, stored.version)


@attrs.frozen
class Change:
    """One change that a watch delivered; `stored` is None for a removal."""

    key: str
    stored: StoredObject | None


@attrs.frozen
class Changes:
    """Changes of a watch and the position to continue after."""

    position: int
    changes: tuple[Change, ...]


@attrs.frozen
class ListingPage:
    """A part of a listing; `after` is the key to go on after, '' at the end."""

    listed: tuple[StoredObject, ...]
    after: str = ''


@attrs.frozen
class Listing:
    """All objects below a prefix, and the position to watch them from."""

    position: int
    listed: tuple[StoredObject, ...]


@attrs.frozen
class ListedInstance:
    """An instance in the platform's lagging list."""

    name: str
    address: str
    region: str
    availability_zone: str
    is_leaving: bool = False


class Platform(abc.ABC):
    """Client of the platform.

    Every call can raise `PlatformUnavailable` (no effect). A write can also
    raise `PlatformAnswerLost` (perhaps an effect) and `VersionConflict`.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> StoredObject | None:
        """Read one object, or None where there is none."""

    @abc.abstractmethod
    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix."""

    @abc.abstractmethod
    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object is as expected; None: it must not exist."""

    @abc.abstractmethod
    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it is as expected."""

    @abc.abstractmethod
    async def read_position(self) -> int:
        """Read the position of the store's last change."""

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float = WATCH_WAIT_S,
    ) -> Changes:
        """Wait for changes below the prefix after a position.

        Without changes it returns after `wait_s`, or sooner; the caller
        watches on from the returned position. Raises `HistoryLost` where the
        store has dropped the changes since then; only a new listing helps.
        """

    async def read_listing(self, prefix: str) -> Listing:
        """Read every object below the prefix with a position to watch from.

        A change between the two reads is delivered again by the watch.
        """
        position = await self.read_position()
        return Listing(position, tuple(await self.iter_objects(prefix)))

    @abc.abstractmethod
    async def read_instances(self) -> list[ListedInstance]:
        """Read the lagging list of live and leaving instances."""
