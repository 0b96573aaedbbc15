"""Text form of a dry run."""

import json
from collections.abc import Iterator
from typing import Any

__all__ = ('list_faults', 'write_done', 'write_preview')


def list_faults(found: dict[str, Any]) -> list[str]:
    """Faults of all objects of a dry run, one a line."""
    return [
        '{kind}/{name}: {0}'.format(fault, **preview)
        for preview in found['previews']
        for fault in preview['faults']
    ]


def write_preview(found: dict[str, Any]) -> Iterator[str]:
    """Lines with each change, its fields, warnings and conflicts."""
    for preview in found['previews']:
        yield '{change} {kind}/{name} at generation {generation}'.format(
            **preview,
        )
        yield from _write_fields('-', preview['before'])
        yield from _write_fields('+', preview['after'])
        for warning in preview['warnings']:
            yield f'  warning: {warning}'
    for conflict in found['conflicts']:
        yield 'conflict: {winner} over {loser}: {about}'.format(**conflict)


def _write_fields(sign: str, fields: dict[str, Any]) -> Iterator[str]:
    for name, value in fields.items():
        text = json.dumps(value)
        yield f'  {sign} {name}: {text}'


def write_done(envelope: dict[str, Any]) -> str:
    """Line for an accepted write or delete."""
    done = 'deleted' if envelope['is_deleted'] else 'written'
    text = '{0} {kind}/{name} generation {generation} by {author}'
    line = text.format(done, **envelope)
    reason = envelope['reason']
    return f'{line}: {reason}' if reason else line
