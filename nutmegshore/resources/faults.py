"""Faults of declared objects and the error that reports them."""

import attrs

from nutmegshore.errors import ErrorKind, ObjectError

__all__ = ('FieldFault', 'InvalidObject')


@attrs.frozen
class FieldFault:
    """An invalid field and the expected form of its value."""

    field: str
    expected: str

    def __str__(self) -> str:
        """Format the fault, as in `share: expected a number from 0 to 1`."""
        return f'{self.field}: expected {self.expected}'


class InvalidObject(ObjectError):
    """A declared object failed its checks; `faults` lists every fault."""

    def __init__(self, subject: str, faults: list[FieldFault]) -> None:
        """Create the error; its message joins the subject and all faults."""
        joined = '; '.join(str(fault) for fault in faults)
        super().__init__(ErrorKind.INVALID_OBJECT, f'{subject}: {joined}')
        self.faults = faults
