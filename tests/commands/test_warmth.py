"""Tests of the command that tells where objects were warm."""

import itertools
import json


def _line(upstream, took_s=0.1):
    attempt = [upstream, 'home', 0, True, 0.1, took_s, '200']
    event = {'instance': 'g1', 'time': 5, 'event': 'request_served'}
    request = {'request': 'r1', 'route': 'reads', 'key': 'k1', 'took_s': took_s}
    return json.dumps({**event, **request, 'attempts': [attempt]})


def test_the_figures_of_a_route(session, tmp_path):
    """Guards against figures that a reader takes for something else."""
    path = tmp_path / 'g1.log'
    lines = list(itertools.repeat(_line('u1'), 80))
    lines.append(_line('u2', took_s=0.4))
    path.write_text('\n'.join(lines))
    assert session.run(f'warmth {path}') == 0
    assert session.output.splitlines() == [
        'reads: 81 attempts, 1 objects on 2.0 upstreams each, warm in 0.100 s',
        '    expected warm: 81, slow 0.01',
        '    expected cold: 0, slow 0.00',
        '    first visits: 2, slow 0.50',
        '    first visits per object: 2.0',
        '    repeated, by others: 0, slow 0.00',
        '    repeated, by the same: 79, slow 0.00',
        '    work: 1.0 times that of warm attempts',
        '    out of time: 0, away: 0',
    ]


def test_logs_that_tell_nothing_are_no_success(session, tmp_path):
    """Guards against a check of nothing that looks like a good figure."""
    path = tmp_path / 'g1.log'
    path.write_text(_line('u1'))
    assert session.run(f'warmth {path}') == 1
