"""Exit codes of all programs.

:data SUCCESS: the command did what it was asked.
:data ERROR: the command failed and changed nothing that lasts.
:data USAGE: an argument or a setting is wrong; nothing was started.
:data REFUSED: an edit of the table was refused; the table is unchanged.
:data UNKNOWN: an edit may have been accepted; ``outcome`` tells later.
:data PARTIAL: some daemons could not be reached; the output names them.
"""

SUCCESS = 0
ERROR = 1
USAGE = 2
REFUSED = 3
UNKNOWN = 4
PARTIAL = 5
