Feature: Accepted edits are linearizable and no daemon goes back
  Scenario: Daemons keep to the order of versions through faults
    Given table daemons with the planted fault "none"
    When table daemons run the histories 1 to 4
    Then no table history shows a fault

  Scenario: Operators are told the truth about their edits through faults
    Given table operators with the planted fault "none"
    When table operators run the histories 1 to 60
    Then no table history shows a fault

  Scenario Outline: The histories find faults of a daemon
    Given table daemons with the planted fault "<fault>"
    When table daemons run the histories 2 to 3
    Then a table history shows a fault

    Examples:
      | fault                        |
      | first table however old      |
      | conflicting edits accepted   |
      | snapshot with a gap after it |

  Scenario Outline: The histories find faults of an operator's program
    Given table operators with the planted fault "<fault>"
    When table operators run the histories 1 to 10
    Then a table history shows a fault

    Examples:
      | fault                               |
      | lost edit repeated under a new name |
      | acknowledged taken for accepted     |

  Scenario Outline: A version that only one daemon read is not in force before it is safe
    Given table daemons with the planted fault "<fault>"
    When the only daemon that read a version restarts while the log is away
    Then <finding>

    Examples:
      | fault                                   | finding                        |
      | none                                    | no table history shows a fault |
      | in force before another daemon has it   | a table history shows a fault  |
