"""Data that the layers share: settings, table, requests, events, effects."""
