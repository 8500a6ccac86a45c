Feature: A soak test with faults on the platform detects broken guarantees

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

  Scenario: A fleet whose daemons trust that they hear of every version is detected
    Given daemons that never read the table for want of fresh knowledge
    When a table soak of 15 hosts with the fault "readers-without-store" runs with seed 1000000
    Then it finds a broken guarantee whose description contains "did not have version"

  Scenario: A fleet that takes older tables is detected
    Given daemons that put any table in force
    When a soak test with the faults "older-store, table" runs with seed 21
    Then it finds a broken guarantee whose description contains "went from"

  Scenario Outline: A fleet that ignores what backend servers say in responses is detected
    Given daemons that read no notices in responses
    When a soak test with the faults "<fault>" runs with seed <seed>
    Then it finds a broken guarantee whose description contains "<text>"

    Examples:
      | fault   | seed | text               |
      | limit   | 31   | despite its limit  |
      | leaving | 41   | said that it leaves |

  Scenario: A fleet that never blocks a request that crashes its servers is detected
    Given daemons that forget crashes
    When a soak test with the faults "crashing-request" runs with seed 51
    Then it finds a broken guarantee whose description contains "further servers"

  Scenario: A fleet that blocks what was in progress at any crash is detected
    Given daemons that block a request after one crash
    When a soak test with the faults "crash" runs with seed 53
    Then it finds a broken guarantee whose description contains "crashed no server"

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

  Scenario Outline: A daemon that reaches the store has each version in force in time
    When a table soak of <hosts> hosts with the fault "<fault>" runs with seed <seed>
    Then no version was in force too late, of at least <judged> judged

    Examples:
      | hosts | fault                 | seed     | judged |
      | 15    | calm                  | 1000000  | 250    |
      | 15    | hosts-cut-off         | 1000000  | 250    |
      | 15    | readers-cut-off       | 1000000  | 250    |
      | 15    | readers-without-store | 1000000  | 150    |
      | 27    | readers-without-power | 1000000  | 400    |
      | 21    | most-without-power    | 12000002 | 300    |
      | 27    | halves                | 5000002  | 400    |
