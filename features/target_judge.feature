Feature: A gate judges its own backend server

  Background:
    Given a gate with a judge

  Scenario: One failure makes the gate doubt, a second one is enough
    When its work ends as "failed"
    Then the standing is "doubted"
    When its work ends as "failed"
    Then the standing is "failing"

  Scenario Outline: Each way to fail counts
    When its work ends as "<result>"
    Then the standing is "<standing>"

    Examples:
      | result      | standing |
      | done        | good     |
      | broken      | doubted  |
      | late        | good     |
      | unreachable | failing  |
      | turned-away | good     |

  Scenario: Good answers take the doubt back
    When its work ends as "failed"
    And its work ends as "done"
    Then the standing is "good"

  Scenario: A failing backend server without work is tried again within 4 seconds
    When its work ends as "failed" 5 times
    And 4 s pass
    Then the standing is "doubted"

  Scenario: Work that hangs is noticed before its deadline
    When its work ends as "done" after 200 ms, 20 times
    And work starts and nothing comes back for 1200 ms
    Then the standing is "doubted"

  Scenario: The failure of a call doesn't count against the server that made it
    When a call of the backend server fails
    And its work ends as "failed"
    Then the standing is "good"

  Scenario: The failure of a call excuses one failure only
    When a call of the backend server fails
    And its work ends as "failed" 2 times
    Then the standing is "doubted"

  Scenario: The failure of a call excuses nothing that happens later
    When a call of the backend server fails
    And 1 s pass
    And its work ends as "failed"
    Then the standing is "doubted"

  Scenario: A renewed announcement keeps the judgement
    When its work ends as "failed" 2 times
    And the backend server announces itself again
    Then the standing is "failing"

  Scenario Outline: Work that can't be repeated avoids targets in doubt
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

  Scenario Outline: A gate turns away what the entry would not have sent had it known
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

  Scenario: Requests that may fail resolve a doubt
    Given targets with the standings "good good good good good good good doubted"
    Then between 20 and 30 % of "idempotent" requests go to the doubted target
    And between 0 and 0 % of "non-idempotent" requests go to the doubted target

  Scenario Outline: Late work counts if it had a multiple of the usual time
    When its work ends as "done" after 200 ms, 20 times
    And its work ends as "late" after <took> ms, 1 times
    Then the standing is "<standing>"

    Examples:
      | took | standing |
      | 400  | good     |
      | 900  | doubted  |
