"""Faults of many kinds at a small fleet on the platform, in virtual time."""
