"""Entry points of the installed programs: arguments in, exit code out."""
