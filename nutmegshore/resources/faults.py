"""Faults of declared objects."""

import attrs

from nutmegshore.errors import ErrorKind, ObjectError

__all__ = ('FieldFault', 'InvalidObject')


@attrs.frozen
class FieldFault:
    """A field that is wrong and the form that was expected of it."""

    field: str
    expected: str

    def __str__(self) -> str:
        """Show the fault as an operator reads it."""
        return f'{self.field}: expected {self.expected}'


class InvalidObject(ObjectError):
    """A declared object fails its checks; `faults` lists every one."""

    def __init__(self, subject: str, faults: list[FieldFault]) -> None:
        """Name the object and join all faults into the message."""
        listed = '; '.join(str(fault) for fault in faults)
        super().__init__(ErrorKind.INVALID_OBJECT, f'{subject}: {listed}')
        self.faults = faults
