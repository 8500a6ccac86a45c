"""Adapters between the outside and the controllers."""
