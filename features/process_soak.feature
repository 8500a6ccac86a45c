Feature: Daemons as real processes keep the guarantees beside faults in series

  Scenario Outline: Signals, kills and late messages in series break no guarantee
    When a soak test of real processes with the faults "<faults>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 400 requests succeeded

    Examples:
      | faults                 | seed |
      | restart, hup, table    | 11   |
      | departure, kill, store | 12   |

  Scenario: Daemons that are killed in place of a shutdown are detected
    Given processes that are killed in place of a shutdown
    When a soak test of real processes with the faults "restart, table" runs with seed 11
    Then it finds a broken guarantee whose description contains "planned work cut"
