"""Small helpers that know nothing of the proxy."""
