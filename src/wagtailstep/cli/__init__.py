"""Entry points of the installed programs: parse arguments and return exit codes."""
