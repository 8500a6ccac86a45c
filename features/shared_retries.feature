Feature: All daemons together keep within one budget of retries

  Background:
    Given 27 daemons with a shared budget of ratio 0.19 and slack 60

  Scenario: However much fails, no window has more retries than the fleet may make
    When every request of 40 s fails, 160 each second, with a burst of 4 times as many
    Then in any 10 s there were at most 0.2 retries for each request and 60 more

  Scenario: Calls that a repeated run makes again are charged to their service
    Given a run at "contracts" makes 1.4 calls to "archive"
    When every request of 40 s fails, 160 each second, with a burst of 4 times as many
    Then in any 10 s the repeated calls to "archive" were at most 60

  Scenario: A refusal by gates costs nothing
    Then a request that 3 gates refused as busy may be sent once more
    And a request that 6 gates refused as leaving may be sent once more

  Scenario: A request goes to no more targets than its route allows
    Then a request that 2 backend servers got is not sent again
