Feature: Backend servers are judged by the outcomes of real requests
  Scenario Outline: Only what speaks against the backend server counts against it
    Given a daemon that knows 6 targets in 3 zones
    When 60 requests to one target end with blame "<blame>" and the others well
    Then that target is <avoided> by this daemon
    And it is <candidate> for ejection

    Examples:
      | blame          | avoided     | candidate       |
      | overload       | not avoided | not a candidate |
      | caller         | not avoided | not a candidate |
      | connection     | avoided     | not a candidate |
      | path           | avoided     | not a candidate |
      | backend-server | avoided     | a candidate     |

  Scenario Outline: The accepted risk sets how many failures it takes
    Given a daemon that knows 6 targets in 3 zones
    And its service accepts a false ejection risk of <risk>
    When one target fails every request, 2 in each 100 ms
    Then it is avoided after <failures> failures

    Examples:
      | risk  | failures |
      | 1e-3  | 2        |
      | 1e-6  | 4        |
      | 1e-12 | 8        |

  Scenario: A failure of all targets is nobody's fault
    Given a daemon that knows 6 targets in 3 zones
    When all targets fail half of their requests for 20 s
    Then no target is avoided by this daemon

  Scenario: A service that becomes slow as a whole has no straggler
    Given a daemon that knows 6 targets in 3 zones
    When all targets become 4 times as slow for 20 s
    Then no target is avoided by this daemon

  Scenario: A zone that becomes slow is not the fault of its targets
    Given a daemon that knows 12 targets in 3 zones
    When the targets of one zone become 4 times as slow for 20 s
    Then no target is avoided by this daemon

  Scenario: A straggler is found by its route's latencies
    Given a daemon that knows 6 targets in 3 zones
    When one target becomes 3 times as slow for 20 s
    Then that target is avoided by this daemon

  Scenario: Waiting for a slot at the gate is not the backend server's latency
    Given a daemon that knows 6 targets in 3 zones
    When requests to one target wait 500 ms for a slot for 20 s
    Then no target is avoided by this daemon

  Scenario: A target that starts cold is not taken for a straggler
    Given a daemon that knows 6 targets in 3 zones
    When one target restarts and is 5 times as slow for 8 s
    Then no target is avoided by this daemon
    And that target gets a growing share of its weight

  Scenario: A backend server that hangs is found before its requests time out
    Given a daemon that knows 6 targets in 3 zones
    When requests to one target get no answer for 8 s
    Then that target is avoided by this daemon

  Scenario: A target returns after probes, and then slowly
    Given a daemon that knows 6 targets in 3 zones
    When one target is avoided and then answers 3 probes well
    Then that target gets a growing share of its weight

  Scenario: A target that flaps stays out longer each time
    Given a daemon that knows 6 targets in 3 zones
    When one target is avoided 3 times in a row
    Then each time out is twice as long as the one before

  Scenario: Only daemons with an interest in the service are told
    Given 8 daemons of which 5 have an interest in the service
    When one target fails at one of them
    Then only daemons with an interest got evidence, within the byte budget

  Scenario Outline: A planted fault of the judgement is caught
    Given a daemon that knows 6 targets in 3 zones
    And a judgement that <fault>
    When <event>
    Then some target is avoided by this daemon

    Examples:
      | fault                  | event                                              |
      | ignores the others     | all targets become 4 times as slow for 20 s        |
      | counts the queue       | requests to one target wait 500 ms for a slot for 20 s |
      | excuses no cold start  | one target restarts and is 5 times as slow for 8 s |

  Scenario Outline: A small fleet finds the fault in time and ejects nobody else
    Given 3 simulated fleets of a user who wants fast detection
    When they suffer from "<fault>" for at most 8 s
    Then the sick target was found within <ms> ms in each
    And no healthy target was taken out and the floor held

    Examples:
      | fault        | ms   |
      | fails-work   | 1000 |
      | hangs        | 1000 |
      | straggler-3x | 3000 |

  Scenario: Errors on one route of three are found within a second
    Given 3 simulated fleets of a user who wants fast detection
    When they suffer from "one-route" for at most 8 s
    Then the sick target was found within 1000 ms in each

  Scenario Outline: A small fleet ejects nobody when nobody is at fault
    Given <count> simulated fleets of a user who wants <user>
    When they suffer from "<fault>" for at most <seconds> s
    Then no healthy target was taken out and the floor held

    Examples:
      | count | user                | fault               | seconds |
      | 1     | few false ejections | overload            | 4       |
      | 2     | few false ejections | silent-connections  | 8       |
      | 2     | few false ejections | zone-slow           | 8       |
      | 2     | fast detection      | cold-start          | 8       |
      | 2     | fast detection      | partition-to-target | 8       |
