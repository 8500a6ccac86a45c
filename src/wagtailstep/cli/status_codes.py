"""Exit codes of all programs.

:data SUCCESS: the command completed.
:data ERROR: the command failed without a persistent change.
:data USAGE: an argument or a setting is invalid; nothing was started.
:data REFUSED: an edit of the table was rejected; the table is unchanged.
:data UNKNOWN: an edit may have been accepted; check later with ``outcome``.
:data PARTIAL: some daemons could not be reached; the output lists them.
"""

SUCCESS = 0
ERROR = 1
USAGE = 2
REFUSED = 3
UNKNOWN = 4
PARTIAL = 5
