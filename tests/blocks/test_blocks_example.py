"""Test of the example that embeds the table."""

import pathlib
import runpy

_EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'blocks.py'


def test_the_example_runs(capsys):
    """Guards against an example that no longer matches the public API."""
    runpy.run_path(str(_EXAMPLE), run_name='__main__')
    lines = capsys.readouterr().out.splitlines()
    assert lines == [
        'sites (5, 2)',
        'sites (2,) because of site-5',
    ]
    assert len(_EXAMPLE.read_text().splitlines()) <= 30
