Feature: A request that crashes its servers is blocked beside faults

  Scenario Outline: A request that crashes its servers is blocked, and no other request
    When a soak test with the faults "<faults>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least <served> requests succeeded

    Examples:
      | faults                    | seed     | served |
      | crashing-request          | 51       | 1400   |
      | crashing-request, restart | 52       | 1400   |
      | crash                     | 53       | 1500   |
      | crashing-request, crash   | 61000001 | 1400   |

  Scenario: A fleet that never blocks a request that crashes its servers is detected
    Given daemons that forget crashes
    When a soak test with the faults "crashing-request" runs with seed 51
    Then it finds a broken guarantee whose description contains "further servers"

  Scenario: A fleet that blocks what was in progress at any crash is detected
    Given daemons that block a request after one crash
    When a soak test with the faults "crash" runs with seed 53
    Then it finds a broken guarantee whose description contains "crashed no server"
