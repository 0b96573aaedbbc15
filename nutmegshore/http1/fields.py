"""Grammar of field lines, by RFC 9110, section 5, and RFC 9112, section 5."""

import re

__all__ = ('TOKEN', 'is_field', 'parse_field_line')

#: Pattern of a field's name, and of a method.
TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = r'[\t -~\x80-\xff]*'
_FIELD_LINE = re.compile(rf'({TOKEN}):({_TEXT})')
_NAME = re.compile(TOKEN)
_FIELD_TEXT = re.compile(_TEXT)
#: Blanks around a field's text. Others, such as a no-break space, may be bytes
#: of a longer character.
_BLANKS = ' \t'


def parse_field_line(line: str) -> tuple[str, str] | None:
    """Split a line without its end; None if it is no field line.

    The line is decoded as Latin-1. The blanks around the text are left out.

        parse_field_line('Retry-After: 1 ')  # ('Retry-After', '1')
        parse_field_line('Retry-After : 1')  # None
    """
    found = _FIELD_LINE.fullmatch(line)
    if found is None:
        return None
    name, text = found.groups()
    return name, text.strip(_BLANKS)


def is_field(name: str, text: str) -> bool:
    """Whether a field of this name and text can be written as a line."""
    is_named = _NAME.fullmatch(name) is not None
    return is_named and _FIELD_TEXT.fullmatch(text) is not None
