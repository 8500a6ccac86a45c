"""Decisions. A controller does no I/O: events in, effects out."""
