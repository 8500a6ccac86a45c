Feature: Accepted edits are linearizable and no daemon reverts to an older version
  Scenario: Daemons apply versions in order despite faults
    Given table daemons with the planted fault "none"
    When table daemons run the histories 1 to 4
    Then no table history shows a fault

  Scenario: Operators get correct outcomes for their edits despite faults
    Given table operators with the planted fault "none"
    When table operators run the histories 1 to 60
    Then no table history shows a fault

  Scenario Outline: The checks of histories detect faults of a daemon
    Given table daemons with the planted fault "<fault>"
    When table daemons run the histories 2 to 3
    Then a table history shows a fault

    Examples:
      | fault                        |
      | first table however old      |
      | conflicting edits accepted   |
      | snapshot with a gap after it |

  Scenario Outline: The checks of histories detect faults of an operator's program
    Given table operators with the planted fault "<fault>"
    When table operators run the histories 1 to 10
    Then a table history shows a fault

    Examples:
      | fault                               |
      | lost edit repeated under a new name |
      | acknowledged taken for accepted     |

  Scenario Outline: A version that only one daemon has read is not put in force
    Given table daemons with the planted fault "<fault>"
    When the only daemon that read a version restarts while the log is unavailable
    Then <finding>

    Examples:
      | fault                                   | finding                        |
      | none                                    | no table history shows a fault |
      | in force before another daemon has it   | a table history shows a fault  |
