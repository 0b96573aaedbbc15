"""Global traffic steering, configured through declared objects."""

__all__ = ('__version__',)

__version__ = '0.1.0'
