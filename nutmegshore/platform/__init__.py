"""The users' platform: its names, formats and calls, and no decisions.

Nothing outside this package knows how the platform spells things. Each reader
turns what the platform sends into types of the product, and raises
`PlatformFormatError` where that is not possible.
"""
