Feature: Backend servers are judged by the outcomes of real requests
  Scenario Outline: Only failures blamed on the backend server make it an ejection candidate
    Given a daemon that knows 6 targets in 3 zones
    When 60 requests to one target end with blame "<blame>" and the others succeed
    Then that target is <avoided> by this daemon
    And it is <candidate> for ejection

    Examples:
      | blame          | avoided     | candidate       |
      | overload       | not avoided | not a candidate |
      | caller         | not avoided | not a candidate |
      | connection     | avoided     | not a candidate |
      | path           | avoided     | not a candidate |
      | backend-server | avoided     | a candidate     |

  Scenario Outline: The accepted risk determines how many failures lead to avoidance
    Given a daemon that knows 6 targets in 3 zones
    And its service accepts a false ejection risk of <risk>
    When one target fails every request, 2 in each 100 ms
    Then it is avoided after <failures> failures

    Examples:
      | risk  | failures |
      | 1e-3  | 2        |
      | 1e-6  | 4        |
      | 1e-12 | 8        |

  Scenario Outline: Copies that lost to a faster one show that their target is slow
    Given a daemon that knows 6 targets in 3 zones
    When 60 copies sent to one target lose after <waited> ms and the others succeed
    Then that target is <avoided> by this daemon

    Examples: the others usually take 20 ms
      | waited | avoided     |
      | 100    | avoided     |
      | 20     | not avoided |

  Scenario: Failures at all targets are not blamed on any of them
    Given a daemon that knows 6 targets in 3 zones
    When all targets fail half of their requests for 20 s
    Then no target is avoided by this daemon

  Scenario: No target is avoided when all become slow
    Given a daemon that knows 6 targets in 3 zones
    When all targets become 4 times as slow for 20 s
    Then no target is avoided by this daemon

  Scenario: No target is avoided when its whole zone becomes slow
    Given a daemon that knows 12 targets in 3 zones
    When the targets of one zone become 4 times as slow for 20 s
    Then no target is avoided by this daemon

  Scenario: A slow target is detected by the latencies of its route
    Given a daemon that knows 6 targets in 3 zones
    When one target becomes 3 times as slow for 20 s
    Then that target is avoided by this daemon

  Scenario: Time spent waiting for a slot at the gate does not count as latency
    Given a daemon that knows 6 targets in 3 zones
    When requests to one target wait 500 ms for a slot for 20 s
    Then no target is avoided by this daemon

  Scenario: A target is not avoided for being slow after a cold start
    Given a daemon that knows 6 targets in 3 zones
    When one target restarts and is 5 times as slow for 8 s
    Then no target is avoided by this daemon
    And that target gets a growing share of its weight

  Scenario: A hanging backend server is detected before its requests time out
    Given a daemon that knows 6 targets in 3 zones
    When requests to one target get no answer for 8 s
    Then that target is avoided by this daemon

  Scenario: A target returns after successful probes, with a growing share
    Given a daemon that knows 6 targets in 3 zones
    When one target is avoided and then answers 3 probes successfully
    Then that target gets a growing share of its weight

  Scenario: A target that flaps is avoided longer each time
    Given a daemon that knows 6 targets in 3 zones
    When one target is avoided 3 times in a row
    Then each avoidance is twice as long as the one before

  Scenario: Evidence is sent only to daemons with an interest in the service
    Given 8 daemons of which 5 have an interest in the service
    When one target fails at one of them
    Then only daemons with an interest received evidence, within the byte budget

  Scenario Outline: The scenarios above detect a planted fault in the evaluation
    Given a daemon that knows 6 targets in 3 zones
    And an evaluation that <fault>
    When <event>
    Then some target is avoided by this daemon

    Examples:
      | fault                  | event                                              |
      | ignores the others     | all targets become 4 times as slow for 20 s        |
      | counts the queue       | requests to one target wait 500 ms for a slot for 20 s |
      | excuses no cold start  | one target restarts and is 5 times as slow for 8 s |

  Scenario Outline: A small fleet detects the fault in time and ejects no healthy target
    Given 3 simulated fleets of a user who wants fast detection
    When the fault "<fault>" lasts in them for at most 8 s
    Then the unhealthy target was detected within <ms> ms in each
    And no healthy target was ejected and the floor held

    Examples:
      | fault        | ms   |
      | fails-work   | 1000 |
      | hangs        | 1000 |
      | straggler-3x | 3000 |

  Scenario: Errors on one route of three are found within a second
    Given 3 simulated fleets of a user who wants fast detection
    When the fault "one-route" lasts in them for at most 8 s
    Then the unhealthy target was detected within 1000 ms in each

  Scenario Outline: A small fleet ejects no target when no backend server is at fault
    Given <count> simulated fleets of a user who wants <user>
    When the fault "<fault>" lasts in them for at most <seconds> s
    Then no healthy target was ejected and the floor held

    Examples:
      | count | user                | fault               | seconds |
      | 1     | few false ejections | overload            | 4       |
      | 2     | few false ejections | silent-connections  | 8       |
      | 2     | few false ejections | zone-slow           | 8       |
      | 2     | fast detection      | cold-start          | 8       |
      | 2     | fast detection      | partition-to-target | 8       |
