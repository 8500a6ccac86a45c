"""Stand-ins for the log service and the backend servers."""
