Feature: Retries can't multiply an overload

  Background:
    Given a retry policy with ratio 0.1 and burst 10

  Scenario: In the long run retries are a tenth of the first attempts
    When 1000 first attempts fail as "connection refused"
    Then between 105 and 111 retries were allowed

  Scenario: The budget of one service leaves the others alone
    When 1000 first attempts fail as "connection refused"
    Then a retry for service "archive" is allowed

  Scenario: A refusal for overload is tried once more at most
    Given a request that failed 2 times as "overloaded"
    Then a retry is not allowed

  Scenario: A leaving target costs nothing of the budget
    Given the budget is used up
    And a request that failed 1 times as "leaving"
    Then a retry is allowed

  Scenario Outline: Each limit of a retry binds alone
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
