"""Adapter to the users' platform: its names, formats and API calls.

This package makes no routing decisions, and no other package depends on how
the platform names its keys and headers. Its parsers convert the platform's
data to the types of the product, and raise `PlatformFormatError` where the
data is invalid.
"""
