"""Commands that need no entry: settings, examples and tokens."""

import json
import random
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from nutmegshore.commands.base import BaseCommand, ExitCode, UsageError
from nutmegshore.examples import list_default_rules, list_objects
from nutmegshore.operators import Role, make_token
from nutmegshore.settings import DEPLOYMENTS, read_settings, write_example

__all__ = (
    'CheckCommand',
    'ExampleCommand',
    'ObjectsCommand',
    'TokenCommand',
)

_RULES = 'rules'
_KNOWN = ', '.join(DEPLOYMENTS)


class CheckCommand(BaseCommand):
    """Checks a settings file."""

    name = 'settings check'
    description = 'Check a settings file and report all faults at once.'
    arguments: ClassVar[list[Argument]] = [
        argument('file', 'Path of the INI file.'),
    ]

    def run_command(self) -> int:
        """Read the file; faults end in exit code 2."""
        path = self.argument('file')
        read_settings(path)
        self.show(f'{path}: no faults')
        return ExitCode.SUCCESS


class ExampleCommand(BaseCommand):
    """Prints commented settings."""

    name = 'settings example'
    description = 'Print commented settings that pass the check.'
    arguments: ClassVar[list[Argument]] = [
        argument('deployment', f'One of {_KNOWN}.'),
    ]

    def run_command(self) -> int:
        """Print the example."""
        deployment = self.argument('deployment')
        if deployment not in DEPLOYMENTS:
            raise UsageError(f'{deployment}: expected one of {_KNOWN}')
        self.show(write_example(deployment).rstrip('\n'))
        return ExitCode.SUCCESS


class ObjectsCommand(BaseCommand):
    """Prints objects to apply."""

    name = 'example-objects'
    description = 'Print the objects of a deployment, for apply -f.'
    arguments: ClassVar[list[Argument]] = [
        argument('deployment', f'One of {_KNOWN}, {_RULES}.'),
    ]

    def run_command(self) -> int:
        """Print a JSON list of objects."""
        deployment = self.argument('deployment')
        if deployment == _RULES:
            found = list_default_rules()
        elif deployment in DEPLOYMENTS:
            found = list_objects(deployment)
        else:
            known = f'{_KNOWN}, {_RULES}'
            raise UsageError(f'{deployment}: expected one of {known}')
        self.show(json.dumps(found, indent=2))
        return ExitCode.SUCCESS


class TokenCommand(BaseCommand):
    """Makes a token and the settings line for it."""

    name = 'token'
    description = 'Make a bearer token and its line for [operators] tokens.'
    help = 'The token itself is shown once and kept nowhere.'
    arguments: ClassVar[list[Argument]] = [
        argument('name', 'Name of the operator; author of its changes.'),
        argument('role', 'read or write.', optional=True, default='read'),
    ]

    def run_command(self) -> int:
        """Print both."""
        name = self.argument('name')
        role = self.argument('role')
        if role not in {known.value for known in Role}:
            raise UsageError(f'{role}: expected read or write')
        if not name or len(name.split()) != 1:
            raise UsageError('name: expected one word')
        token, hashed = make_token(random.SystemRandom())
        self.show(f'token: {token}')
        self.show(f'settings line: {name} {role} {hashed}')
        return ExitCode.SUCCESS
