Feature: A gate assesses the health of its backend server

  Background:
    Given a gate that judges its backend server

  Scenario: After one failure the backend server is doubted, after a second one failing
    When its work ends as "failed"
    Then the standing is "doubted"
    When its work ends as "failed"
    Then the standing is "failing"

  Scenario Outline: Each type of failure counts
    When its work ends as "<result>"
    Then the standing is "<standing>"

    Examples:
      | result      | standing |
      | done        | good     |
      | broken      | doubted  |
      | late        | good     |
      | unreachable | failing  |
      | turned-away | good     |

  # Guards against a server without failures that gets no requests, since it was full.
  Scenario: A backend server that only declines is not doubted
    When its work ends as "turned-away" 40 times
    Then the standing is "good"

  Scenario: Declined requests don't delay the end of a doubt
    When its work ends as "failed"
    And 1 s pass
    And its work ends as "turned-away" 5 times
    And 1 s pass
    Then the standing is "good"

  Scenario: A success restores the standing "good"
    When its work ends as "failed"
    And its work ends as "done"
    Then the standing is "good"

  Scenario: A failing backend server that gets no work is probed again within 4 seconds
    When its work ends as "failed" 5 times
    And 4 s pass
    Then the standing is "doubted"

  Scenario: A failing backend server is kept from all requests for a second only
    When its work ends as "failed" 5 times
    And 1 s pass
    Then the standing is "doubted"
    When its work ends as "failed"
    Then the standing is "failing"

  Scenario: Hanging work is detected before its deadline
    When its work ends as "done" after 200 ms, 20 times
    And work starts and gets no response for 1200 ms
    Then the standing is "doubted"

  Scenario: A failure caused by a failed call doesn't count against the server that made the call
    When a call of the backend server fails
    And its work ends as "failed"
    Then the standing is "good"

  Scenario: A failed call explains only one failure
    When a call of the backend server fails
    And its work ends as "failed" 2 times
    Then the standing is "doubted"

  Scenario: A failed call does not explain later failures
    When a call of the backend server fails
    And 1 s pass
    And its work ends as "failed"
    Then the standing is "doubted"

  Scenario: A renewed announcement keeps the standing
    When its work ends as "failed" 2 times
    And the backend server announces itself again
    Then the standing is "failing"

  Scenario Outline: Non-idempotent requests avoid doubted targets
    Given targets with the standings "<standings>"
    Then "<safety>" requests go to targets with the standings "<used>"

    Examples:
      | standings                | safety         | used            |
      | good doubted failing     | non-idempotent | good            |
      | good doubted failing     | idempotent     | good doubted    |
      | good good good doubted   | idempotent     | good doubted    |
      | warming doubted          | non-idempotent | warming         |
      | doubted failing failing  | non-idempotent | doubted         |
      | failing failing          | non-idempotent | failing         |
      | good failing failing     | idempotent     | good            |

  Scenario Outline: A gate rejects requests sent on an outdated standing
    When its work ends as "failed" <failures> times
    Then a "<safety>" request that was sent to a "<known>" target is <outcome>

    Examples:
      | failures | safety         | known   | outcome |
      | 0        | non-idempotent | good    | run     |
      | 1        | non-idempotent | good    | refused |
      | 1        | idempotent     | good    | run     |
      | 2        | idempotent     | good    | refused |
      | 2        | non-idempotent | failing | run     |
      | 2        | idempotent     | failing | run     |

  Scenario: The more targets are doubted, the more idempotent requests probe them
    Given targets with the standings "good good doubted doubted doubted doubted"
    Then between 65 and 75 % of "idempotent" requests go to the doubted target
    And between 0 and 0 % of "non-idempotent" requests go to the doubted target

  Scenario Outline: A gate knows whether its entry has a better target
    Given targets with the standings "<standings>"
    Then the gate of the last target is told to accept a standing of "<accepted>"

    Examples:
      | standings       | accepted |
      | good good       | good     |
      | good doubted    | doubted  |
      | doubted doubted | failing  |

  Scenario: Idempotent requests probe a doubted target
    Given targets with the standings "good good good good good good good doubted"
    Then between 20 and 30 % of "idempotent" requests go to the doubted target
    And between 0 and 0 % of "non-idempotent" requests go to the doubted target

  Scenario Outline: Late work counts if it had a multiple of the typical latency
    When its work ends as "done" after 200 ms, 20 times
    And its work ends as "late" after <took> ms, 1 times
    Then the standing is "<standing>"

    Examples:
      | took | standing |
      | 400  | good     |
      | 900  | doubted  |
