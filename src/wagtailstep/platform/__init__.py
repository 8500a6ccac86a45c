"""Adapter to the users' platform. It only translates and makes no decisions."""
