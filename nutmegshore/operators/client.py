"""Interface of operator clients, and a client in memory."""

import abc
import json
from typing import Any

from nutmegshore.errors import ErrorKind, NutmegshoreError
from nutmegshore.operators.access import Credential
from nutmegshore.operators.api import OperatorApi
from nutmegshore.operators.declare import Declaration
from nutmegshore.operators.wire import write_json

__all__ = (
    'EntryUnreachable',
    'MemoryOperatorClient',
    'OperatorClient',
    'OperatorError',
)

Fields = dict[str, Any]


class OperatorError(NutmegshoreError):
    """An entry refused a call; `fields` is the complete answer."""

    def __init__(self, kind: ErrorKind, fields: Fields) -> None:
        """Take the message from the answer."""
        super().__init__(kind, str(fields.get('message', '')))
        self.fields = fields


class EntryUnreachable(NutmegshoreError):
    """No entry answered, and nothing was changed."""

    def __init__(self, message: str) -> None:
        """Use the kind of a closed link."""
        super().__init__(ErrorKind.LINK_CLOSED, message)


class OperatorClient(abc.ABC):
    """Client of one entry's operator listener.

    Objects and answers are maps in the JSON form of the resource API. Every
    call can raise `NutmegshoreError`; its kind says what happened.
    """

    @abc.abstractmethod
    async def get(self, kind: str, name: str) -> Fields:
        """Read one object in force."""

    @abc.abstractmethod
    async def iter_objects(self, kind: str) -> list[Fields]:
        """Read all objects of a kind; '' stands for every kind."""

    @abc.abstractmethod
    async def write(
        self,
        kind: str,
        name: str,
        spec: Fields | None,
        generation: int | None,
        reason: str,
    ) -> Fields:
        """Write, or with spec None delete, at an expected generation."""

    @abc.abstractmethod
    async def dry_run(self, wishes: list[Fields]) -> Fields:
        """Ask what maps of kind, name and spec would change."""

    @abc.abstractmethod
    async def watch(self, after: str) -> Fields:
        """Wait for changes after a position; '' gives all objects."""

    @abc.abstractmethod
    async def explain(self, service: str, region: str) -> list[Fields]:
        """Ask where requests go and why; '' stands for all."""

    @abc.abstractmethod
    async def read_statuses(self, kind: str, name: str) -> list[Fields]:
        """Read statuses by region; '' stands for all."""

    def close(self) -> None:
        """Close connections, if any."""


class MemoryOperatorClient(OperatorClient):
    """Client of an `OperatorApi` in the same process, for tests."""

    def __init__(self, api: OperatorApi, credential: Credential) -> None:
        """Call the API with a credential."""
        self._api = api
        self._credential = credential

    async def get(self, kind: str, name: str) -> Fields:
        """Read one object in force."""
        return _as_json(self._api.get(kind, name))

    async def iter_objects(self, kind: str) -> list[Fields]:
        """Read all objects of a kind; '' stands for every kind."""
        return _as_json(self._api.iter_objects(kind))

    async def write(
        self,
        kind: str,
        name: str,
        spec: Fields | None,
        generation: int | None,
        reason: str,
    ) -> Fields:
        """Write, or with spec None delete, at an expected generation."""
        author = self._credential.name
        wish = Declaration(kind, name, spec, author, reason, generation)
        return _as_json(await self._api.declare(wish))

    async def dry_run(self, wishes: list[Fields]) -> Fields:
        """Ask what maps of kind, name and spec would change."""
        author = self._credential.name
        declarations = [
            Declaration(wish['kind'], wish['name'], wish.get('spec'), author)
            for wish in wishes
        ]
        return _as_json(self._api.dry_run(declarations))

    async def watch(self, after: str) -> Fields:
        """Wait for changes after a position; '' gives all objects."""
        return _as_json(await self._api.watch(after))

    async def explain(self, service: str, region: str) -> list[Fields]:
        """Ask where requests go and why; '' stands for all."""
        return _as_json(list(self._api.providers.explain(service, region)))

    async def read_statuses(self, kind: str, name: str) -> list[Fields]:
        """Read statuses by region; '' stands for all."""
        return _as_json(await self._api.read_statuses(kind, name))


def _as_json(found: Any) -> Any:
    return json.loads(write_json(found))
