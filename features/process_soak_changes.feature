Feature: Daemons as real processes keep the guarantees beside changes and refusals

  Scenario Outline: Changed settings and limits, and a store that refuses single daemons
    When a soak test of real processes with the faults "<faults>" runs with seed <seed>
    Then it finds no broken guarantee
    And at least 400 requests succeeded

    Examples:
      | faults             | seed |
      | grace, heads, hup  | 21   |
      | partial-outage, heads | 22   |
