Feature: Sound backend servers get requests beside many that fail

  Scenario Outline: Sound backend servers get requests while many others fail theirs
    When a soak test of 40 hosts with the faults "spontaneous, most" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 3500 requests succeeded

    Examples:
      | seed     |
      | 91000001 |
      | 91000003 |

  Scenario: A fleet that excludes failing servers until their log odds decay is detected
    Given daemons that exclude failing servers until their log odds decay
    When a soak test of 40 hosts with the faults "spontaneous, most" runs with seed 91000001
    Then it finds a broken guarantee whose description contains "sound servers got nothing"
