"""Measurements; each writes a table under docs/measurements."""
