"""The daemon that serves callers on the users' platform."""
