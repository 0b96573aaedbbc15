"""Global traffic steering declared as objects."""

__all__ = ('__version__',)

__version__ = '0.1.0'
