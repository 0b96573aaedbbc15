"""Objects to apply: default rules and both deployments."""

from nutmegshore.examples.deployments import (
    DEPLOYMENTS,
    list_default_rules,
    list_objects,
)

__all__ = ('DEPLOYMENTS', 'list_default_rules', 'list_objects')
