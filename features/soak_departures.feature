Feature: A backend server that has left gets no new work beside faults

  Scenario Outline: A backend server that has left gets no new work
    When a soak test with the faults "<faults>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 1500 requests succeeded

    Examples:
      | faults                    | seed |
      | departure                 | 71   |
      | departure, odd-heartbeats | 72   |
      | odd-heartbeats, table     | 73   |
      | departure, store          | 74   |

  Scenario: A fleet whose daemons forget departures when they restart is detected
    Given daemons that acknowledge departures without a record
    When a soak test with the faults "departure" runs with seed 71
    Then it finds a broken guarantee whose description contains "after its departure"
