"""Findings of the measurement sessions."""

import attrs

__all__ = ('Chart', 'Findings', 'Measure', 'Table')


Point = tuple[float, float]


@attrs.frozen
class Measure:
    """One figure: its goal says in words what it should be.

    `baselines` holds the same figure for other policies, by their name.
    `is_met` says whether the goal is reached; None where there is no bound.
    """

    name: str
    value: float
    unit: str
    goal: str
    seed: int
    is_met: bool | None = None
    baselines: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Chart:
    """A plot of named series of (x, y) points."""

    title: str
    x_label: str
    y_label: str
    series: dict[str, list[Point]]


@attrs.frozen
class Table:
    """A table of text cells under a title."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


@attrs.frozen
class Findings:
    """What one session found."""

    measures: tuple[Measure, ...] = ()
    tables: tuple[Table, ...] = ()
    charts: tuple[Chart, ...] = ()
