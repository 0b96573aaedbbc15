"""Fields of specs, each declared with the parser that checks its value."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from nutmegshore.resources import readers
from nutmegshore.resources.faults import FieldFault, InvalidObject

__all__ = (
    'choice',
    'flag',
    'integer',
    'mapping_of',
    'name',
    'names',
    'number',
    'parse_fields',
    'spec_field',
)

_PARSER = 'parser'


@attrs.frozen
class Parser:
    """Checks one value of decoded JSON.

    `read` returns the checked value or raises ValueError; `expected` describes
    the valid form for operators.
    """

    expected: str
    read: Callable[[Any], Any]


def spec_field(parser: Parser, **options: Any) -> Any:
    """Declare an attrs field whose value `parse_fields` checks.

    share: float = spec_field(number(0, 1))
    cap: int = spec_field(integer(1), default=100)
    """
    return attrs.field(metadata={_PARSER: parser}, **options)


def name() -> Parser:
    """Parser of a name of letters, digits, dots, dashes and underscores."""
    return Parser(
        'a name of letters, digits, ".", "-" and "_"', readers.read_name
    )


def names() -> Parser:
    """Parser of a list of names."""
    return Parser('a list of names', readers.read_names)


def number(low: float, high: float) -> Parser:
    """Parser of a number from `low` to `high`, both included."""
    return Parser(
        f'a number from {low} to {high}',
        lambda raw: readers.read_number(raw, low, high),
    )


def integer(low: int, high: int = 1_000_000_000) -> Parser:
    """Parser of an integer from `low` to `high`, both included."""
    return Parser(
        f'a whole number from {low} to {high}',
        lambda raw: readers.read_integer(raw, low, high),
    )


def flag() -> Parser:
    """Parser of a boolean."""
    return Parser('true or false', readers.read_flag)


def choice(*allowed: str) -> Parser:
    """Parser of one of the given words."""
    return Parser(
        'one of {0}'.format(', '.join(allowed)),
        lambda raw: readers.read_choice(raw, allowed),
    )


def mapping_of(parser: Parser) -> Parser:
    """Parser of a map from names to values, each checked by `parser`."""
    return Parser(
        f'a map from names to {parser.expected}',
        lambda raw: readers.read_mapping(raw, parser.read),
    )


def parse_fields(spec_type: type, raw: Any, subject: str) -> Any:
    """Build a spec from decoded JSON.

    Raises `InvalidObject` with every fault at once: invalid values, missing
    fields and unknown fields.
    """
    if not isinstance(raw, Mapping):
        raise InvalidObject(subject, [FieldFault('spec', 'a map of fields')])
    by_name = {field.name: field for field in attrs.fields(spec_type)}
    known_names = ', '.join(sorted(by_name))
    faults = [
        FieldFault(str(key), f'one of {known_names}')
        for key in raw
        if key not in by_name
    ]
    values = {}
    for field_name, field in by_name.items():
        _parse_field(field, raw, values, faults)
    if faults:
        raise InvalidObject(subject, faults)
    return spec_type(**values)


def _parse_field(
    field: Any,
    raw: Mapping[str, Any],
    values: dict[str, Any],
    faults: list[FieldFault],
) -> None:
    parser = field.metadata[_PARSER]
    if field.name not in raw:
        if field.default is attrs.NOTHING:
            faults.append(FieldFault(field.name, parser.expected))
        return
    try:
        values[field.name] = parser.read(raw[field.name])
    except ValueError:
        faults.append(FieldFault(field.name, parser.expected))
