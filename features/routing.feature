Feature: Requests are routed to targets by weight, load and health, within limits

  Background:
    Given a daemon in zone "bole" that knows 4 targets of service "contracts"

  Scenario: Idle targets share the load by weight
    Given the weight of target 1 is 3
    When 6000 picks are made with nothing in flight
    Then target 1 gets between 46 and 54 percent of the picks

  Scenario: Busy targets get fewer requests
    Given 8 attempts are in flight at target 1
    When 1000 picks are made with nothing else in flight
    Then target 1 gets between 0 and 10 percent of the picks

  Scenario Outline: Targets that can't take work get none as soon as that is known
    Given 50 picks were made before
    And target 2 is "<state>"
    When 500 picks are made with nothing in flight
    Then target 2 gets between 0 and 0 percent of the picks

    Examples:
      | state           |
      | leaving         |
      | starting        |
      | ejected         |
      | without weight  |
      | beside a daemon that is gone |

  Scenario: A target of another zone gets less load when all are idle
    Given target 4 is in zone "piassa"
    When 4000 picks are made with nothing in flight
    Then target 4 gets between 1 and 15 percent of the picks

  Scenario: First attempts mostly stay in their zone, retries go to all zones
    Given targets of other zones are selected with 0.33 of their weight
    And targets 2, 3, 4 are in zone "piassa"
    When 4000 picks are made with nothing in flight
    Then target 1 gets between 65 and 85 percent of the picks
    When 4000 picks are made for requests that already tried target 2
    Then target 3 gets between 20 and 45 percent of the picks

  Scenario: The only target of a zone is not overloaded
    Given targets of other zones are selected with 0.33 of their weight
    And targets 2, 3, 4 are in zone "piassa"
    And 2 attempts are in flight at target 1
    When 4000 picks are made with nothing else in flight
    Then target 1 gets between 10 and 35 percent of the picks

  Scenario: Avoidance respects the floor
    Given the floor of "contracts" is 3
    And targets 1, 2 are avoided
    And target 1 has the higher penalty
    When 1000 picks are made with nothing in flight
    Then target 1 gets between 0 and 0 percent of the picks
    And target 2 gets between 1 and 60 percent of the picks

  Scenario: Avoidance takes effect immediately
    Given 50 picks were made before
    And targets 1 are avoided
    When 500 picks are made with nothing in flight
    Then target 1 gets between 0 and 0 percent of the picks

  Scenario: Avoidance never excludes all targets
    Given targets 1, 2, 3, 4 are avoided
    When 100 picks are made with nothing in flight
    Then all picks found a target

  Scenario: A target in slow start gets a fraction of its share
    Given target 3 has ramp 0.1
    When 6000 picks are made with nothing in flight
    Then target 3 gets between 1 and 7 percent of the picks

  Scenario: A target that failed the request is not picked again while there are others
    When 200 picks are made for requests that already tried target 2
    Then target 2 gets between 0 and 0 percent of the picks

  Scenario: With no target the request is refused as not run
    Given targets 1, 2, 3, 4 are ejected
    Then a pick is refused with verdict "not-run" and a Retry-After time

  Scenario: A service's concurrency limit refuses requests on admission
    Given the table limits "contracts" to 2 requests at once
    When 3 requests are admitted
    Then 1 of them is refused as overloaded with verdict "not-run"
    And after one release another request is admitted

  Scenario: A route's concurrency limit does not affect other routes
    Given the table limits route "sign" of "contracts" to 1 request at once
    When 2 requests of route "sign" are admitted
    Then 1 of them is refused as overloaded with verdict "not-run"
    And a request of route "lookup" is admitted

  Scenario: A client account that exceeds its rate is told when to retry
    Given each client account of "contracts" may send 5 requests per second
    When client account "union" sends 7 requests at once
    Then 2 of them are refused as overloaded with verdict "not-run"
    And after the time in Retry-After client account "union" is admitted again
    And client account "hall" is admitted

  Scenario: The number of rate limiters for client accounts is bounded
    Given each client account of "contracts" may send 5 requests per second
    When 5000 client accounts send one request each
    Then rate limiters of at most 1024 of them are kept

  Scenario: Selecting a target of one service does not examine those of others
    Given 19000 targets of 460 other services are known
    When one pick is made and the examined targets are counted
    Then at most 4 targets were examined
    And removing a target removes it from its service's index

  Scenario: Requests for unknown services use bounded memory
    When requests for 3000 unknown services are admitted
    Then the targets of at most 1024 services are requested
    And none of them is requested any more after 11 minutes

  Scenario: What is excluded from the draw is reported by reason, once a second
    Given target 1 is "leaving"
    And target 2 is "beside a daemon that is gone"
    And targets 3 are avoided
    When picks are made for 2500 ms while target 3 changes between avoided and usable
    Then the first report says "drawn=1 not_serving=1 gate_gone=1 path_avoided=1"
    And there are 3 reports
