Feature: Retries can't multiply an overload

  Background:
    Given a retry policy with ratio 0.1 and burst 10

  Scenario: In the long run retries are limited to a tenth of the first attempts
    When 1000 first attempts fail as "connection refused"
    Then between 105 and 111 retries were allowed

  Scenario: An exhausted budget of one service does not affect other services
    When 1000 first attempts fail as "connection refused"
    Then a retry for service "archive" is allowed

  Scenario: A request refused for overload is retried once at most
    Given a request that failed 2 times as "overloaded"
    Then a retry is not allowed

  Scenario: A retry after a leaving target's refusal takes nothing from the budget
    Given the retry budget is exhausted
    And a request that failed 1 times as "leaving"
    Then a retry is allowed

  Scenario Outline: The reason for which a request is not sent again is known
    Given a request that failed <attempts> times as "<end>"
    And it has <left> ms left and is "<safety>"
    Then a retry is not allowed
    And the reason is "<reason>"

    Examples:
      | attempts | end                | left | safety         | reason          |
      | 3        | connection refused | 500  | non-idempotent | no-attempts     |
      | 1        | connection refused | 4    | non-idempotent | no-time         |
      | 1        | connection lost    | 500  | non-idempotent | not-repeatable  |
      | 1        | bad request        | 500  | idempotent     | invalid-request |

  Scenario: An exhausted budget is named as the reason
    Given the retry budget is exhausted
    And a request that failed 1 times as "connection refused"
    Then a retry is not allowed
    And the reason is "no-budget"

  Scenario Outline: Each limit on retries applies by itself
    Given a request that failed <attempts> times as "<end>"
    And it has <left> ms left and is "<safety>"
    Then a retry is <allowed>

    Examples:
      | attempts | end                | left | safety         | allowed     |
      | 1        | connection refused | 500  | non-idempotent | allowed     |
      | 3        | connection refused | 500  | non-idempotent | not allowed |
      | 1        | connection refused | 4    | non-idempotent | not allowed |
      | 1        | connection lost    | 500  | non-idempotent | not allowed |
      | 1        | connection lost    | 500  | idempotent     | allowed     |
      | 1        | bad request        | 500  | idempotent     | not allowed |
