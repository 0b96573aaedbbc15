"""Configuration of structured logging."""

import logging

import structlog

__all__ = ('configure_logs', 'get_logger')


def configure_logs(form: str = 'json') -> None:
    """Write log lines as JSON, or as readable text with form `console`."""
    renderer = structlog.processors.JSONRenderer()
    if form == 'console':
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        cache_logger_on_first_use=True,
    )


def get_logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """Logger of one component; components log changes of state only."""
    return structlog.get_logger(part=part)
