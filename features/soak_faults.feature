Feature: Faults in series break no guarantee of the fleet

  Scenario: Two types of faults at once break no guarantee
    When a soak test with the faults "power, restart" runs with seed 11
    Then it finds no broken guarantee
    And at least 1500 requests succeeded

  Scenario: Planned maintenance alone interrupts no request
    When a soak test with the faults "restart, table" runs with seed 13
    Then it finds no broken guarantee
    And at least 1500 requests succeeded

  Scenario Outline: A store that is restored from older copies breaks no guarantee
    When a soak test with the faults "older-store, <other>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 1500 requests succeeded

    Examples:
      | other   | seed |
      | table   | 21   |
      | restart | 22   |

  Scenario: A fleet that takes older tables is detected
    Given daemons that put any table in force
    When a soak test with the faults "older-store, table" runs with seed 21
    Then it finds a broken guarantee whose description contains "went from"

  Scenario: A fleet that resends non-idempotent requests is detected
    Given a retry policy that also resends non-idempotent requests
    When a soak test with the faults "lose, hang" runs with seed 12
    Then it finds a broken guarantee whose description contains "times"

  Scenario: A fleet whose daemons stop without draining is detected
    Given daemons that shut down without draining
    When a soak test with the faults "restart, table" runs with seed 13
    Then it finds a broken guarantee whose description contains "planned work cut"

  Scenario: After a power loss of all hosts every daemon soon knows all targets
    When all 6 hosts of a fleet lose power and restart at the same time
    Then 600 ms later each daemon knows 6 targets
