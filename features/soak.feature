Feature: A soak of faults on the platform finds broken promises

  Scenario: Two kinds of trouble at once break none
    When a soak with the troubles "power, restart" is played with seed 11
    Then it finds no broken promise
    And at least 1500 requests were answered with success

  Scenario: Planned work alone cuts no request
    When a soak with the troubles "restart, table" is played with seed 13
    Then it finds no broken promise
    And at least 1500 requests were answered with success

  Scenario: A fleet that sends unrepeatable requests again is found out
    Given retries that don't ask whether a request may be repeated
    When a soak with the troubles "lose, hang" is played with seed 12
    Then it finds a broken promise that says "times"

  Scenario: A fleet whose daemons stop at once is found out
    Given daemons that shut down without waiting
    When a soak with the troubles "restart, table" is played with seed 13
    Then it finds a broken promise that says "planned work cut"

  Scenario: After a loss of all power the targets are soon known everywhere
    When all 6 hosts of a fleet lose power and start again at once
    Then 600 ms later each daemon knows 6 targets
