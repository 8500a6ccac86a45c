Feature: What backend servers say in their answers holds beside faults

  Scenario Outline: A backend server gets no more requests than the limit that it named
    When a soak test with the faults "limit, <other>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 1500 requests succeeded

    Examples:
      | other   | seed |
      | limit   | 31   |
      | restart | 32   |
      | cut     | 33   |

  Scenario Outline: A backend server that says in its answers that it leaves gets no new work
    When a soak test with the faults "leaving, <other>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 1500 requests succeeded

    Examples:
      | other   | seed |
      | leaving | 41   |
      | restart | 42   |
      | cut     | 43   |

  Scenario Outline: A fleet that ignores what backend servers say in responses is detected
    Given daemons that read no notices in responses
    When a soak test with the faults "<fault>" runs with seed <seed>
    Then it finds a broken guarantee whose description contains "<text>"

    Examples:
      | fault   | seed | text               |
      | limit   | 31   | despite its limit  |
      | leaving | 41   | said that it leaves |
