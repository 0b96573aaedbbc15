"""The API through which operators declare objects and read statuses."""

from nutmegshore.operators.access import (
    Access,
    AccessList,
    Role,
    make_token,
    parse_subject,
    parse_token,
)
from nutmegshore.operators.api import OperatorApi
from nutmegshore.operators.changes import ChangeLog
from nutmegshore.operators.declare import Declaration, Declarer
from nutmegshore.operators.providers import (
    ConflictReport,
    Providers,
    RouteExplanation,
)
from nutmegshore.operators.server import make_operator_application
from nutmegshore.operators.status import (
    ObjectStatus,
    StatusBoard,
    StatusPart,
)
from nutmegshore.operators.status_store import StatusWriter, read_statuses

__all__ = (
    'Access',
    'AccessList',
    'ChangeLog',
    'ConflictReport',
    'Declaration',
    'Declarer',
    'RouteExplanation',
    'ObjectStatus',
    'OperatorApi',
    'Providers',
    'Role',
    'StatusBoard',
    'StatusPart',
    'StatusWriter',
    'make_operator_application',
    'make_token',
    'parse_subject',
    'parse_token',
    'read_statuses',
)
