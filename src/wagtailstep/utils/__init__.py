"""General-purpose helpers that are not specific to proxying."""
