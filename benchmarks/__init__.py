"""Benchmarks and simulations; most write a page under docs/measurements."""
