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

  Scenario Outline: Daemons with many failures use what the others do not need
    Given <daemons> daemons with a shared budget of ratio 0.15 and slack <slack>
    And daemons lend retries to each other
    When 25 s pass with <rate> requests a second, of which one daemon in 8 sees <share> fail
    Then at least 0.9 of the retries that the budget permitted and requests needed were made
    And in any 10 s there were at most 0.2 retries for each request and <slack> more

    Examples:
      | daemons | slack | rate | share |
      | 26      | 60    | 70   | 0.9   |
      | 235     | 430   | 680  | 0.9   |

  Scenario Outline: Lending never exceeds the budget of the fleet
    Given 27 daemons with a shared budget of ratio 0.19 and slack 60
    And daemons lend retries to each other
    And <trouble>
    When every request of 40 s fails, 160 each second, with a burst of 4 times as many
    Then in any 10 s there were at most 0.2 retries for each request and 60 more

    Examples:
      | trouble                          |
      | no message is lost               |
      | half of the messages are lost    |
      | each message arrives 1500 ms late |

  Scenario: A daemon that lent its retries does not make them itself
    Given 2 daemons with a shared budget of ratio 0.19 and slack 64
    Then what one daemon lends is missing there for 12 s and ends at the borrower after 1 s

  Scenario: Loans of the past are forgotten by a daemon where no request waits for one
    Given 2 daemons with a shared budget of ratio 0.19 and slack 64
    When one of them borrows a retry each second for 60 s
    Then it remembers at most 3 loans
