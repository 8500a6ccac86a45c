Feature: Histories of concurrent requests under faults keep the guarantees

  Scenario: Without faults every request is answered as run
    When 10 schedules run without faults
    Then no guarantee is violated
    And every request was answered as run

  Scenario Outline: One fault violates no guarantee
    When 12 schedules run with fault "<fault>"
    Then no guarantee is violated
    And some operations of each type ran

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

  Scenario: Pairs of faults violate no guarantee
    When one schedule runs for each pair of faults
    Then no guarantee is violated
    And some operations of each type ran

  Scenario: No key stays held without a run after the faults have ended
    When 20 schedules run with faults "refusals, log-away, lost-acknowledgments"
    Then no guarantee is violated

  Scenario: The same seed gives the same history
    When schedule 77 runs twice
    Then both histories are the same

  Scenario Outline: The checker detects planted faults
    Given the planted fault "<planted>"
    When 40 schedules run with the planted fault and fault "<fault>"
    Then the guarantee "<promise>" is violated

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
