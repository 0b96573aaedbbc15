"""Tests that run the example scripts."""

import pathlib
import runpy

import pytest

_FOLDER = pathlib.Path(__file__).parents[1] / 'examples'
_MOST_LINES = 30


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('caps', 'held_back'),
        ('configuration', '[1, 1, 1]'),
        ('membership', '(4, 3)'),
        ('retry_budget', '9'),
        ('steering', "('t1', (Origin("),
    ],
)
def test_an_example_runs(name, expected, capsys):
    """Guards against examples that a change of an API breaks."""
    path = _FOLDER / f'{name}.py'
    runpy.run_path(str(path), run_name='__main__')
    assert expected in capsys.readouterr().out
    lines = filter(str.strip, path.read_text().splitlines())
    assert len(list(lines)) <= _MOST_LINES
