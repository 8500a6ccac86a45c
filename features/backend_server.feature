Feature: The stand-in of a backend server fails the way real ones do
  Scenario: It announces itself, renews, and leaves without cutting a request
    Given the stand-in of a backend server
    When it runs for 2 s beside a daemon and leaves with a request in flight
    Then it had announced itself at least 4 times and then left
    And the request in flight was answered before it had left

  Scenario: It fails real work while its health is ok
    Given the stand-in of a backend server
    When it has the faults {"fail_share": 1.0} and is asked for /lookup,/health
    Then the answers have the statuses 200,500,200
    And its health is ok
    And it ran 0 requests and shed 0

  Scenario: It fails one route
    Given the stand-in of a backend server
    When it has the faults {"fail_route": "sign"} and is asked for /sign/1,/lookup/1
    Then the answers have the statuses 200,500,200

  Scenario: It becomes a straggler
    Given the stand-in of a backend server
    When it has the faults {"slow_factor": 10.0} and is asked for /lookup
    Then the last request took 1000 ms

  Scenario: It refuses faults that it doesn't know
    Given the stand-in of a backend server
    When it has the faults {"fail_shar": 1.0} and is asked for /lookup
    Then the answers have the statuses 400,200

  Scenario: It sheds load
    Given the stand-in of a backend server
    When 9 requests reach it at once
    Then it ran 6 requests and shed 3

  Scenario: It is slow after a cold start
    Given the stand-in of a backend server
    When it is asked right after its cold start and 20 s later
    Then the first request took about 4 times as long as the last

  Scenario: Its connections go silent while new ones work
    Given the stand-in of a backend server
    When its open connections are silenced and it is asked over an old and a new one
    Then the old connection brings nothing and the new one an answer
