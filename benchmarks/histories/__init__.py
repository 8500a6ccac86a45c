"""Seeded histories of a small fleet under faults, and their checker."""
