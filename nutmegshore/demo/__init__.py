"""Demonstration in one process with ledgers of upstreams and callers."""

from nutmegshore.demo.report import Report
from nutmegshore.demo.script import DemoOptions, run_demo

__all__ = ('DemoOptions', 'Report', 'run_demo')
