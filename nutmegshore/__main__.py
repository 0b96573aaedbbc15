"""Entry point of the command line."""

import sys

from nutmegshore.commands import make_application


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(make_application().run())


if __name__ == '__main__':
    main()
