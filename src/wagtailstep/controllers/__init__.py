"""Decision logic. A controller does no I/O: it maps events to effects."""
