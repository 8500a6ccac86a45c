Feature: Every reader of the log reaches the same decision on each table edit
  Background:
    Given a table with service "contracts" of floor 2 and 3 backend servers

  Scenario Outline: An edit is accepted only if the table stays valid
    When an edit based on version <base> sets "<row>" to "<cells>"
    Then the edit is "<verdict>" and its reason contains "<reason>"

    Examples:
      | base | row                                 | cells               | verdict  | reason                      |
      | 1    | service contracts                   | floor_weight=3      | accepted |                             |
      | 1    | service contracts                   | floor_weight=3.5    | refused  | floor_weight: 3.5 can't     |
      | 1    | backend_server contracts/10.0.0.1:1 | weight=0            | accepted |                             |
      | 1    | backend_server contracts/10.0.0.1:1 | weight=1001         | refused  | weight: 1001.0 is out of    |
      | 1    | backend_server contracts/10.0.0.1:1 | weight=nan          | refused  | weight: nan is out of range |
      | 1    | backend_server archive/10.0.0.1:1   | weight=1            | refused  | no row service archive      |
      | 1    | backend_server contracts/nowhere    | weight=1            | refused  | service/host:port           |
      | 1    | route contracts/sign                | timeout_ms=0        | refused  | allowed is 1 to 3.6e+06     |
      | 1    | account contracts/hall              | rate_limit=4        | accepted |                             |
      | 2    | account contracts/hall              | rate_limit=4        | refused  | at most 1                   |
      | 0    | service contracts                   | floor_weight=1      | refused  | edit first                  |
      | 0    | account contracts/hall              | rate_limit=4        | accepted |                             |

  Scenario: Two edits that only together break the floor are not both accepted
    When an edit based on version 1 removes "backend_server contracts/10.0.0.1:1"
    Then the edit is "accepted" and its reason contains ""
    When an edit based on version 1 removes "backend_server contracts/10.0.0.2:1"
    Then the edit is "refused" and its reason contains "floor_weight: 2 can't be met"

  Scenario: An edit appended twice is applied once
    When an edit based on version 1 sets "service contracts" to "drain_limit_s=5"
    And the same record is appended again
    Then the edit is "duplicate" and its reason contains ""
    And the table has version 2

  Scenario: A copy of an edit whose outcome has expired is not applied again
    When an edit based on version 1 sets "service contracts" to "drain_limit_s=5"
    And 1100 edits of other rows follow
    And the first of these edits is appended again
    Then the edit is "refused" and its reason contains "export the table again"

  Scenario: A record that is not an edit changes nothing
    When the record "nonsense" is appended
    Then the edit is "malformed" and its reason contains "not a known message"
    And the table has version 1

  Scenario: A reader that starts late gets the same table from a snapshot
    When a snapshot of the table is appended late, after 3 more edits
    And the log keeps only the records from the snapshot's last edit on
    Then a new reader has the same table

  Scenario: A snapshot is not used while records after it are missing
    When a snapshot of the table is appended late, after 3 more edits
    And the log keeps only the records after 2 of these edits
    Then a new reader has no table

  Scenario Outline: A wrong snapshot is detected
    When a snapshot with <fault> is appended
    Then <reader> reports the snapshot as wrong

    Examples:
      | fault             | reader         |
      | other rows        | the old reader |
      | other rows        | a new reader   |
      | a later offset    | the old reader |

  Scenario: A snapshot that is older than the table is ignored
    When an older snapshot of the table is restored
    Then the table has version 1

  Scenario: The table is exported and read back unchanged
    When the table is exported as CSV and read back
    Then the file has the same rows and base version 1

  Scenario: A file with semicolons, as spreadsheet programs write it, is read
    When the table is exported as CSV with ";" and read back
    Then the file has the same rows and base version 1

  Scenario Outline: A faulty file is explained
    When the exported CSV has "<old>" replaced by "<new>"
    Then reading it fails and the message contains "<message>"

    Examples:
      | old                 | new              | message                           |
      | timeout_ms          | timeout          | column 'timeout' is unknown       |
      | service,contracts,2 | service,contracts,x | column floor_weight: 'x'       |
      | service,contracts,2 | service,contracts,-1 | allowed is 0 to 1e+06         |
      | refuse              | maybe            | refuse or send-once               |
      | backend_server      | server           | kind: 'server' is not allowed     |

  Scenario: Packed rows behave like a dictionary
    Then packed rows match a dictionary over 4000 random operations

  Scenario: Packed rows that are out of order are refused
    Then packed rows refuse keys that are out of order

  Scenario: A fleet that is replaced while the log is unavailable knows no table
    Given a fleet of 5 daemons with a table in force
    When all daemons are replaced while the log is unavailable
    Then no daemon knows a table
    When the table fleet's log is available again
    Then all daemons have the newest table

  Scenario Outline: Daemons that can't read the log still get new versions
    Given a fleet of 5 daemons with a table in force
    When <count> daemons can't read the log and <cut>
    And another edit is accepted
    Then all daemons have the newest table

    Examples:
      | count | cut                                |
      | 4     | nothing else fails                 |
      | 1     | their messages to others get lost  |

  Scenario: A daemon that starts without the log gets the table from its peers
    Given a fleet of 5 daemons with a table in force
    When 1200 more rows are accepted, then the log fails and a daemon is replaced
    Then all daemons have the newest table

  Scenario: Snapshots are written before records expire, and few in a fleet of any size
    Given a fleet of 16 daemons with a table in force
    When 5 times the log's retention period passes
    Then between 8 and 24 snapshots were written
    And a daemon that is replaced afterwards has the newest table

  Scenario: A daemon that starts from a wrong snapshot in the log adopts its peers' table
    Given a fleet of 5 daemons with a table in force
    When the log contains only a wrong snapshot and a daemon is replaced
    Then all daemons have the newest table
    And the replaced daemon has the rows of its peers and reported the difference

  Scenario: Daemons that start together get a large table from the only one that has it
    Given a fleet of 10 daemons with a table in force
    When 1200 more rows are accepted, then the log fails and all but one are replaced
    Then all daemons have the newest table after 90 seconds
