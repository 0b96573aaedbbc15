"""Fails when a noqa has no reason or their number grows unnoticed."""

import pathlib
import re
import sys

#: The number of noqa comments at the last review; lower it when one goes.
ACCEPTED = 4

_NOQA = re.compile('# noqa')
_WITH_REASON = re.compile(r'# noqa: [A-Z]+\d+(, [A-Z]+\d+)* - \w+')


def main() -> int:
    """Count the comments below the source folders."""
    lines = [
        f'{path}:{number}: {line.strip()}'
        for folder in ('nutmegshore', 'tests', 'bench')
        for path in sorted(pathlib.Path(folder).rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if _NOQA.search(line)
    ]
    bare = [line for line in lines if not _WITH_REASON.search(line)]
    for line in bare:
        sys.stderr.write(f'noqa without a rule and a reason: {line}\n')
    if len(lines) != ACCEPTED:
        sys.stderr.write(f'{len(lines)} noqa, {ACCEPTED} accepted:\n')
        sys.stderr.write('\n'.join(lines))
        sys.stderr.write('\n')
    return 1 if bare or len(lines) != ACCEPTED else 0


if __name__ == '__main__':
    sys.exit(main())
