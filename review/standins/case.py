"""Runs a script: record, exit code, and the end of everything it started."""

import asyncio
import gc
import os
import pathlib
import sys
import tempfile
import time
import traceback

HELD = 0
BROKEN = 1
NOT_RUN = 2
_LIMIT_S = 110


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open('w')
        self._started_at = time.monotonic()

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line, also to standard output."""
        line = f'{self.now:8.3f} s  {text}'
        self._file.write(f'{line}\n')
        self._file.flush()
        print(line)


async def _run(work):
    """Run the case, and end what its stand-ins still do."""
    try:
        return await asyncio.wait_for(work, _LIMIT_S)
    finally:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        del tasks
        gc.collect()
        await asyncio.sleep(0.05)


def main(case, path):
    """Run `case(record, has_trouble, temporary folder)`; it returns a code.

    The record is written to `path`.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(path)
    record.write(f'TROUBLE={int(has_trouble)}')
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(_run(case(record, has_trouble, temporary)))
    except Exception:
        record.write(f'the case could not run: {traceback.format_exc()}')
        code = NOT_RUN
    names = {HELD: 'the rule held', BROKEN: 'the rule was broken'}
    record.write(names.get(code, 'not run'))
    sys.exit(code)
