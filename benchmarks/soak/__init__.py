"""Soak test of a small fleet on the platform under many faults, in virtual time."""
