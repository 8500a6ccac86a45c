Feature: Histories of concurrent runs under faults keep the promises

  Scenario: Without faults every operation is answered as run
    When 10 schedules run without faults
    Then no promise is broken
    And every sending was answered as run

  Scenario Outline: One fault breaks no promise
    When 12 schedules run with fault "<fault>"
    Then no promise is broken
    And some operations of each kind ran

    Examples:
      | fault                |
      | lost-answers         |
      | late-answers         |
      | truncated-answers    |
      | refusals             |
      | daemon-crash         |
      | backend-server-crash |
      | one-way-cut          |
      | pause                |
      | log-away             |
      | lost-acknowledgments |

  Scenario: Pairs of faults break no promise
    When one schedule runs for each pair of faults
    Then no promise is broken
    And some operations of each kind ran

  Scenario: No key stays held without a run once the faults have gone
    When 20 schedules run with faults "refusals, log-away, lost-acknowledgments"
    Then no promise is broken

  Scenario: The same seed gives the same history
    When schedule 77 runs twice
    Then both histories are the same

  Scenario Outline: The checker catches planted faults
    Given the planted fault "<planted>"
    When 40 schedules run with the planted fault and fault "<fault>"
    Then the promise "<promise>" is broken

    Examples:
      | planted                                   | fault                | promise           |
      | resend of a non-idempotent request        | backend-server-crash | at-most-once      |
      | answer of another request                 | late-answers         | own-whole-answer  |
      | truncated answer passed on as whole       | truncated-answers    | own-whole-answer  |
      | lost answer called not run                | lost-answers         | not-run-is-a-fact |
      | claim ignored                             | lost-answers         | at-most-once      |
      | claim won by its acknowledgment           | lost-answers         | at-most-once      |
      | claim released after it may have run      | backend-server-crash | at-most-once      |
      | ticket run by another daemon              | lost-answers         | at-most-once      |
      | ticket run again by its issuer            | truncated-answers    | at-most-once      |
      | ticket of an earlier incarnation run      | daemon-crash         | at-most-once      |
      | release forgotten                         | refusals             | not-stuck         |
      | refusal with the log away called not run  | log-away             | not-run-is-a-fact |
