Feature: The fake backend server fails the way real ones do
  Scenario: It announces itself, renews, and leaves without interrupting a request
    Given a fake backend server
    When it runs for 2 s beside a daemon and leaves with a request in flight
    Then it has announced itself at least 4 times and then withdrawn
    And the request in flight was answered before it left

  Scenario: It fails requests while its health check succeeds
    Given a fake backend server
    When it has the faults {"fail_share": 1.0} and is asked for /lookup,/health
    Then the answers have the statuses 200,500,200
    And its health is ok
    And it ran 0 requests and shed 0

  Scenario: It fails one route
    Given a fake backend server
    When it has the faults {"fail_route": "sign"} and is asked for /sign/1,/lookup/1
    Then the answers have the statuses 200,500,200

  Scenario: It becomes slow
    Given a fake backend server
    When it has the faults {"slow_factor": 10.0} and is asked for /lookup
    Then the last request took 1000 ms

  Scenario: It refuses unknown faults
    Given a fake backend server
    When it has the faults {"fail_shar": 1.0} and is asked for /lookup
    Then the answers have the statuses 400,200

  Scenario: It sheds load
    Given a fake backend server
    When 9 requests reach it at once
    Then it ran 6 requests and shed 3

  Scenario: It is slow after a cold start
    Given a fake backend server
    When it is asked right after its cold start and 20 s later
    Then the first request took about 4 times as long as the last

  Scenario: Its open connections stop responding while new ones work
    Given a fake backend server
    When its open connections stop responding and requests use an old and a new one
    Then the old connection brings no answer and the new one does
