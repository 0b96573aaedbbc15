"""Writing of findings as JSON, as a page and as plots."""

import json
import pathlib
from collections.abc import Iterable
from typing import Any

import attrs
from matplotlib.figure import Figure

from bench.measure import Chart, Findings, Measure, Table

__all__ = ('write_report',)

_SIZE_INCHES = (8, 4.5)


def write_report(folder: pathlib.Path, findings: Iterable[Findings]) -> None:
    """Write bench.json, bench.md and a PNG for each chart."""
    folder.mkdir(parents=True, exist_ok=True)
    found = list(findings)
    measures = [measure for one in found for measure in one.measures]
    charts = [chart for one in found for chart in one.charts]
    tables = [table for one in found for table in one.tables]
    by_name = {measure.name: _measure_fields(measure) for measure in measures}
    text = json.dumps(by_name, indent=1, sort_keys=True)
    (folder / 'bench.json').write_text(text)
    plots = [_write_plot(folder, chart) for chart in charts]
    parts = ['# Measurements', _measure_table(measures)]
    parts.extend(_table_text(table) for table in tables)
    parts.extend(plots)
    (folder / 'bench.md').write_text('\n\n'.join(parts))


def _measure_fields(measure: Measure) -> dict[str, Any]:
    fields = attrs.asdict(measure)
    fields.pop('name')
    return fields


def _measure_table(measures: list[Measure]) -> str:
    rows = tuple(
        (
            measure.name,
            ' '.join((_number(measure.value), measure.unit)),
            measure.goal,
            _verdict(measure),
            _baselines(measure),
        )
        for measure in sorted(measures, key=lambda found: found.name)
    )
    columns = ('measure', 'value', 'goal', 'met', 'baselines')
    return _table_text(Table('All measures', columns, rows))


def _number(value: float) -> str:
    return format(value, '.5g')


def _verdict(measure: Measure) -> str:
    if measure.is_met is None:
        return '-'
    return 'yes' if measure.is_met else 'NO'


def _baselines(measure: Measure) -> str:
    return ', '.join(
        ' '.join((name, _number(value)))
        for name, value in measure.baselines.items()
    )


def _table_text(table: Table) -> str:
    lines = [f'## {table.title}', '']
    lines.append(_row(table.columns))
    lines.append(_row('---' for _ in table.columns))
    lines.extend(_row(row) for row in table.rows)
    return '\n'.join(lines)


def _row(cells: Iterable[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _write_plot(folder: pathlib.Path, chart: Chart) -> str:
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    for name, points in chart.series.items():
        axes.plot(
            [point[0] for point in points],
            [point[1] for point in points],
            label=name,
        )
    axes.set_title(chart.title)
    axes.set_xlabel(chart.x_label)
    axes.set_ylabel(chart.y_label)
    axes.legend()
    slug = '-'.join(chart.title.lower().split()).replace('/', '-')
    figure.savefig(folder / f'{slug}.png')
    return f'![{chart.title}]({slug}.png)'
