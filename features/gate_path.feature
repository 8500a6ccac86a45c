Feature: Requests from entry through gate to backend server end with correct outcomes
  Scenario: An unresponsive connection is detected and not blamed on the backend server
    Given a backend server behind its gate, and an entry
    When the kept-alive connection stops responding before a non-idempotent request
    Then "lost" ended as "connection-failed" with verdict "not-run" and blame "connection"
    And the backend server received "lost" 0 times
    And "again" received its own complete answer

  Scenario: The check for a false "not-run" detects a gate that does not refuse revoked attempts
    Given a backend server behind a gate that forgets what it barred, and an entry
    When the kept-alive connection stops responding before a non-idempotent request
    Then "lost" ended as "connection-failed" with verdict "not-run" and blame "connection"
    And the backend server received "lost" 1 times

  Scenario: A slow request is not mistaken for an unresponsive connection
    Given a backend server behind its gate, and an entry
    When a request takes 5000 ms on a working kept-alive connection
    Then "slow" received its own complete answer
    And the backend server ran "slow" 1 times

  Scenario: A lost answer is reported as may-have-run
    Given a backend server behind its gate, and an entry
    When an answer is lost on a kept-alive connection
    Then "unheard" ended as "connection-failed" with verdict "may-have-run" and blame "connection"
    And the backend server ran "unheard" 1 times

  Scenario: A cancelled request is cancelled at the backend server
    Given a backend server behind its gate, and an entry
    When a caller cancels a request that the backend server is running
    Then the backend server was notified of the cancellation and its slot is free

  Scenario: The gate reports a missed deadline before the entry times out
    Given a backend server behind its gate, and an entry
    When the backend server never answers a request with 2000 ms left
    Then "hanging" ended as "deadline-exceeded" with verdict "may-have-run" and blame "backend-server"

  Scenario: A request that waited past its deadline is not blamed on the backend server
    Given a backend server behind its gate, and an entry
    When the deadline of a request passes while it waits for a slot
    Then "waiting" ended as "deadline-exceeded" with verdict "not-run" and blame "overload"
    And the backend server received "waiting" 0 times

  Scenario Outline: A broken answer of the backend server is reported as such
    Given a backend server behind its gate, and an entry
    When the backend server has the fault "<fault>"
    Then "faulty" ended as "<reason>" with verdict "may-have-run" and blame "backend-server"
    And the backend server ran "faulty" 1 times

    Examples:
      | fault          | reason            |
      | truncate_share | truncated-answer  |
      | lose_share     | connection-failed |

  Scenario: A crashed backend server certainly did not run a request
    Given a backend server behind its gate, and an entry
    When the backend server has crashed
    Then "unsent" ended as "connection-failed" with verdict "not-run" and blame "backend-server"

  Scenario: The body of a refused upload is not read
    Given a backend server behind its gate, and an entry
    When a large upload is sent to a gate that refuses it
    Then "upload" ended as "leaving" with verdict "not-run" and blame "none"
    And the body of the upload was not read

  Scenario: No schedule of bytes, faults and cancellations leads to a wrong outcome
    Given a backend server behind its gate, and an entry
    When 25 schedules run with split and delayed bytes, faults and cancellations
    Then no schedule shows a wrong outcome or a request that ran twice

  Scenario Outline: The check of schedules detects planted faults
    Given the same with the planted client fault "<fault>"
    When 8 schedules run with split and delayed bytes, faults and cancellations
    Then some schedule shows a wrong outcome or a request that ran twice

    Examples:
      | fault     |
      | careless  |
      | resending |
