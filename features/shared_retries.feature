Feature: All daemons together stay within one retry budget

  Background:
    Given 27 daemons with a shared budget of ratio 0.19 and slack 60

  Scenario: Even if all requests fail, the fleet's retries stay within the budget in any window
    When every request of 40 s fails, 160 each second, with a burst of 4 times as many
    Then in any 10 s there were at most 0.2 retries for each request and 60 more

  Scenario: Calls that a repeated request makes are charged to the budget of their service
    Given each request to "contracts" makes 1.4 calls to "archive"
    When every request of 40 s fails, 160 each second, with a burst of 4 times as many
    Then in any 10 s there were at most 60 repeated calls to "archive"

  Scenario: Refusals by gates take nothing from the budget
    Then a request that 3 gates refused as busy may be sent once more
    And a request that 6 gates refused as leaving may be sent once more

  Scenario: A request is sent to no more targets than its route allows
    Then a request that 2 backend servers received is not sent again
