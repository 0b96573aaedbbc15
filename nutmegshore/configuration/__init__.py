"""The configuration in force, its merge rule and its replication."""

from nutmegshore.configuration.follower import ConfigurationFollower
from nutmegshore.configuration.problems import Problem, ProblemKind
from nutmegshore.configuration.table import (
    ConfigurationTable,
    next_generation,
)

__all__ = (
    'ConfigurationFollower',
    'ConfigurationTable',
    'Problem',
    'ProblemKind',
    'next_generation',
)
