"""The operators who declare objects and watch their status."""

from nutmegshore.operators.declare import Declarer
from nutmegshore.operators.server import make_operator_application

__all__ = ('Declarer', 'make_operator_application')
