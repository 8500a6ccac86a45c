Feature: A request that a server declined waits for a retry while it has time

  Background:
    Given an entry with 6 targets and plenty of retries

  # Guards against counting an arrival that a server declined as an execution.
  Scenario: A declined arrival is no execution
    Given the attempts end as "decline, decline, decline, decline, answer"
    When a non-idempotent request with 5000 ms left is sent
    Then it ends with 200 after 5 arrivals
    And no request was sent to the same target twice in a row

  # Guards against a change of the rule while the part is switched off.
  Scenario: With a queue length of 0 the former rule applies
    Given 0 declined requests may wait
    And the attempts end as "decline, decline, answer"
    When a non-idempotent request with 5000 ms left is sent
    Then it ends with 503 after 2 arrivals
    And its verdict is "not-run"

  # Guards against two executions of a non-idempotent request.
  Scenario: A non-idempotent request that may have run is not sent again
    Given the attempts end as "decline, decline, lost, answer"
    When a non-idempotent request with 5000 ms left is sent
    Then it ends with 502 after 3 arrivals
    And its verdict is "may-have-run"

  # Guards against more executions than the route allows.
  Scenario: An idempotent request is executed at most twice, whatever was declined
    Given the attempts end as "decline, lost, decline, fail, answer"
    When an idempotent request with 5000 ms left is sent
    Then it ends with 500 after 4 arrivals

  # Guards against a 503 that promises "not executed" after an earlier attempt may have run.
  Scenario: A decline after an attempt that may have run promises nothing
    Given the attempts end as "lost, decline"
    When an idempotent request with 500 ms left is sent
    Then it ends with 502 after 8 arrivals
    And its verdict is "may-have-run"

  # Guards against paying again for a retry that no server has received.
  Scenario Outline: A retry that gates refuse before a server receives it is charged once
    Given the attempts end as "<ends>"
    When an idempotent request with 5000 ms left is sent
    Then it ends with 200 after <count> arrivals
    And 1 retry was charged

    Examples:
      | ends                           | count |
      | fail, doubted, answer          | 3     |
      | lost, doubted, doubted, answer | 4     |
      | decline, doubted, answer       | 3     |

  # Guards against a request that returns in a tight loop.
  Scenario: The backoff grows with each decline
    Given the attempts end as "decline"
    When a non-idempotent request with 2000 ms left is sent
    Then the times between the arrivals grow from 10 to at least 80 ms

  # Guards against retries at servers that just declined other requests.
  Scenario: Servers that declined recently are avoided by retries
    Given targets 1,2,3 decline everything
    When 40 requests with 5000 ms left are sent one after the other
    Then each ended with 200
    And at most 30 arrivals were at targets 1,2,3

  # Guards against the refusal of a request that has seconds left.
  Scenario: A request waits for a retry that becomes available in time
    Given the budget is one retry in 2000 ms, just used up
    And the attempts end as "decline, answer"
    When a non-idempotent request with 5000 ms left is sent
    Then it ends with 200 after 2 arrivals
    And it ended between 2000 and 2020 ms after it was sent
    And the ends of waits were reported as "woken"

  # Guards against a wait for the daemon's own window while others have retries left.
  Scenario: A loan ends the wait
    Given the budget is one retry in 2000 ms, just used up
    And another daemon lends a retry 20 ms after it was asked
    And the attempts end as "decline, answer"
    When a non-idempotent request with 1500 ms left is sent
    Then it ends with 200 after 2 arrivals
    And it ended between 20 and 35 ms after it was sent

  # Guards against waits that operators can't see.
  Scenario: Each wait is logged and counted
    Given the budget is one retry in 1000 ms, just used up
    And the log lines of waits are recorded
    And the attempts end as "decline, decline, answer"
    When these requests are sent
      | name  | rank | aim_ms | left_ms |
      | first | 0    | 500    | 1500    |
      | other | 1    | 500    | 1500    |
    Then one line reports the wait of "first" with reason "woken" and 1000 ms
    And one line reports the wait of "other" with reason "too-late" and 39 ms
    And the metrics count 1 wait that ended as "woken"
    And the metrics count 1 wait that ended as "too-late"

  # Guards against a wait that can't end well; a loan may arrive in the first 40 ms.
  Scenario: A request is refused early if no retry is expected in time
    Given the budget is one retry in 2000 ms, just used up
    And the attempts end as "decline, answer"
    When a non-idempotent request with 1800 ms left is sent
    Then it ends with 503 after 1 arrivals
    And it ended between 0 and 50 ms after it was sent
    And the ends of waits were reported as "too-late"

  # Guards against a second charge for a retry that never arrived at a server.
  Scenario: A retry that ended at a full gate serves for the next attempt
    Given the budget is one retry in 2000 ms, just used up
    And the attempts end as "decline, full, full, answer"
    When a non-idempotent request with 5000 ms left is sent
    Then it ends with 200 after 4 arrivals
    And it ended between 2000 and 2020 ms after it was sent

  # Guards against the loss of a body that is too long to be kept.
  Scenario: A request whose body can't be replayed doesn't wait
    Given the budget is one retry in 2000 ms, just used up
    And the attempts end as "decline, answer"
    When a non-idempotent request with 5000 ms left and a body of 4000 bytes is sent
    Then it ends with 503 after 1 arrivals
    And it ended between 0 and 0 ms after it was sent

  # Guards against a retry for a less important or less urgent request.
  Scenario: Retries go by rank, then by due time
    Given the budget is one retry in 1000 ms, just used up
    And the attempts end as "decline, decline, decline, answer"
    When these requests are sent
      | name   | rank | aim_ms | left_ms |
      | low    | 1    | 500    | 9000    |
      | late   | 0    | 3000   | 9000    |
      | urgent | 0    | 1000   | 9000    |
    Then "urgent" ended with 200 between 1000 and 1020 ms
    And "late" ended with 200 between 2000 and 2040 ms
    And "low" ended with 200 between 3000 and 3060 ms
    And no request waits any more

  # Guards against the wait of a request that those ahead of it leave no retry.
  Scenario: The wait includes the requests ahead, also those that come later
    Given the budget is one retry in 1000 ms, just used up
    And the attempts end as "decline, decline, answer"
    When these requests are sent
      | name  | rank | aim_ms | left_ms |
      | early | 1    | 500    | 1500    |
      | first | 0    | 500    | 1500    |
    Then "first" ended with 200 between 1000 and 1020 ms
    And "early" ended with 503 between 0 and 50 ms

  # Guards against an unbounded queue, and against the refusal of the wrong request.
  Scenario: A full queue refuses the last in its order
    Given the budget is one retry in 1000 ms, just used up
    And 2 declined requests may wait
    And the attempts end as "decline, decline, decline, answer"
    When these requests are sent
      | name   | rank | aim_ms | left_ms |
      | late   | 0    | 3000   | 9000    |
      | middle | 0    | 2000   | 9000    |
      | urgent | 0    | 1000   | 9000    |
    Then "late" ended with 503 between 0 and 5 ms
    And "urgent" ended with 200 between 1000 and 1020 ms
    And "middle" ended with 200 between 2000 and 2040 ms
    And the ends of waits were reported as "queue-full, woken, woken"

  # Guards against a daemon that exits with requests still waiting.
  Scenario: A daemon that shuts down ends its waiting requests
    Given the budget is one retry in 1000 ms, just used up
    And the attempts end as "decline"
    And the daemon begins to shut down after 300 ms
    When these requests are sent
      | name | rank | aim_ms | left_ms |
      | a    | 0    | 3000   | 9000    |
      | b    | 0    | 2000   | 9000    |
    Then "a" ended with 503 between 300 and 320 ms
    And "b" ended with 503 between 300 and 320 ms
    And no request waits any more

  # Guards against waits for a retry that could be sent nowhere.
  Scenario Outline: A service that has no target left ends the waits of its requests
    Given the budget is one retry in 1000 ms, just used up
    And the attempts end as "decline"
    And all targets of the service <change> after 300 ms
    When these requests are sent
      | name | rank | aim_ms | left_ms |
      | a    | 0    | 3000   | 9000    |
      | b    | 0    | 2000   | 9000    |
    Then "a" ended with 503 between 300 and 320 ms
    And "b" ended with 503 between 300 and 320 ms
    And the ends of waits were reported as "no-target, no-target"
    And no request waits any more

    Examples:
      | change     |
      | are gone   |
      | leave      |

  # Guards against a retry that is kept for a caller that has gone.
  Scenario: A caller that leaves makes room for the next request
    Given the budget is one retry in 1000 ms, just used up
    And the attempts end as "decline, decline, answer"
    When these requests are sent
      | name | rank | aim_ms | left_ms | leaves_ms |
      | gone | 0    | 500    | 9000    | 20        |
      | next | 0    | 900    | 1500    |           |
    Then "next" ended with 200 between 1000 and 1020 ms
    And the ends of waits were reported as "cancelled, woken"
    And no request waits any more

  # Guards against waits that end in a refusal because the prediction was wrong.
  Scenario Outline: The time at which the budget covers a cost is predicted
    When the wait for <amount> retries is predicted at 50 random moments
    Then the budget covered them within 60 ms of the predicted time

    Examples:
      | amount |
      | 1      |
      | 2.5    |
      | 6      |

  # Guards against a prediction from nothing, and against one that ignores loans.
  Scenario: Loans count in the prediction, and without any data there is none
    Then a wait without past requests, retries or loans can't be predicted
    And loans of 4 retries a second make 2 more expected in 500 ms

  # Guards against slow attempts that leave nothing to requests that certainly fail.
  Scenario: Replacing slow attempts leaves a quarter of the budget
    Then replacing slow attempts leaves 2 of 8 retries to other requests
