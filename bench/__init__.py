"""Seeded sessions that measure the decisions."""
