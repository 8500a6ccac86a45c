"""Simulate a small fleet under faults and check its histories of requests."""
