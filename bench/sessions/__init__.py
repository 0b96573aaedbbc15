"""Measurement sessions, one module each with a function `measure(seed)`."""
