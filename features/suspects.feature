Feature: A request that crashes each backend server which runs it is soon blocked

  Scenario: Every daemon blocks a request after three successive crashes
    Given 6 daemons that exchange crashes of their servers
    When servers crash running request "a" at daemons 1, 2, 3 in turn
    Then request "a" is blocked at all daemons
    And request "b" is blocked at none

  Scenario: Two crashes don't block a request
    Given 6 daemons that exchange crashes of their servers
    When servers crash running request "a" at daemons 1, 2 in turn
    Then request "a" is blocked at none

  Scenario: Simultaneous crashes count once
    Given 6 daemons that exchange crashes of their servers
    When the servers of daemons 1, 2, 3, 4 crash simultaneously running request "a"
    Then request "a" is blocked at none

  Scenario: A response between two crashes clears a request
    Given 6 daemons that exchange crashes of their servers
    When servers crash running request "a" at daemons 1, 2 in turn
    And daemon 4 answers request "a"
    And servers crash running request "a" at daemons 1, 2 in turn
    Then request "a" is blocked at none

  Scenario: A response after the last crash unblocks a request
    Given 6 daemons that exchange crashes of their servers
    When servers crash running request "a" at daemons 1, 2, 3 in turn
    And daemon 4 answers request "a"
    Then request "a" is blocked at none

  Scenario: Concurrent requests of three crashes are not blocked, one that ran exclusively is
    Given 6 daemons that exchange crashes of their servers
    When servers crash running requests "a,b" at daemon 1
    And servers crash running requests "a,b" at daemon 2
    And servers crash running requests "a,b" at daemon 3
    Then request "a" is blocked at none
    And request "b" is blocked at none
    When servers crash running request "a" at daemons 4 in turn
    Then request "a" is blocked at all daemons
    And request "b" is blocked at none

  Scenario: A request runs exclusively after two crashes
    Given a gate beside a backend server with 4 slots
    When 2 requests arrive at the gate
    And request 3 arrives, during which 2 servers crashed before
    And request 4 arrives at the gate with 30000 ms left
    Then requests 1,2 run
    When request 1 ends
    Then requests 2 run
    When request 2 ends
    Then requests 3 run
    And request 4 waits
    When request 3 ends
    Then requests 4 run

  Scenario: A request runs concurrently with others after one crash
    Given a gate beside a backend server with 4 slots
    When 2 requests arrive at the gate
    And request 3 arrives, during which 1 servers crashed before
    Then requests 1,2,3 run

  Scenario: Only a request that was in progress at all crashes is blocked
    Given 6 daemons that exchange crashes of their servers
    When servers crash running requests "a,b" at daemon 1
    And servers crash running requests "a,c" at daemon 2
    And servers crash running requests "a,b,c" at daemon 3
    And servers crash running requests "a" at daemon 4
    Then request "a" is blocked at all daemons
    And request "b" is blocked at none
    And request "c" is blocked at none

  Scenario: Daemons that miss the first messages, or start later, learn it from others
    Given 6 daemons that exchange crashes of their servers
    And 1 message in 2 is lost
    When servers crash running request "a" at daemons 1, 2, 3 in turn
    And daemon 5 restarts
    And 6 s pass for the daemons
    Then request "a" is blocked at all daemons

  Scenario: Repeated messages count once
    Given 6 daemons that exchange crashes of their servers
    And each message is delivered three times
    When servers crash running request "a" at daemons 1, 2 in turn
    And 10 s pass for the daemons
    Then request "a" is blocked at none

  Scenario: A block ends, and so does a suspicion
    Given 6 daemons that exchange crashes of their servers
    When servers crash running request "a" at daemons 1, 2, 3 in turn
    And servers crash running request "b" at daemons 4, 5 in turn
    And 61 s pass for the daemons
    Then request "a" is blocked at all daemons
    And nothing is known of request "b"
    When 600 s pass for the daemons
    Then nothing is known of request "a"

  Scenario: Many suspects take bounded memory, and blocked ones are kept
    Given 6 daemons that exchange crashes of their servers
    When servers crash running request "a" at daemons 1, 2, 3 in turn
    And servers crash running 1000 other requests at daemon 1
    Then request "a" is blocked at all daemons
    And each daemon knows at most 256 suspects

  Scenario Outline: Crashes with other causes block nothing
    Given 27 daemons that exchange crashes of their servers
    When <crashes> servers crash within 90 s running 4 requests each, of 30 a second for 300 resources
    Then no request was ever blocked

    Examples:
      | crashes |
      | 4       |
      | 16      |
      | 40      |

  Scenario Outline: What arrives again is recognized by service, method, path, caller and body
    Then a request with another <part> has <relation> fingerprint

    Examples:
      | part              | relation   |
      | service           | a different |
      | method            | a different |
      | path              | a different |
      | query             | a different |
      | host              | a different |
      | client account    | a different |
      | authorization     | a different |
      | body              | a different |
      | identifier        | the same   |
      | timeout           | the same   |

  Scenario Outline: A broken exchange counts as a crash only if the server is gone
    When a backend server <fate> while 2 requests run there
    Then <reported> requests are reported as in progress at its crash
    And they end as "<reason>" with verdict "may-have-run"

    Examples:
      | fate                   | reported | reason            |
      | crashes                | 2        | server-crashed      |
      | resets its connections | 0        | connection-failed |

  Scenario: A run without a fingerprint counts as concurrent
    When a backend server crashes running a request and one of an older release
    Then the request was not reported as exclusive

  Scenario: A caller that leaves while its broken exchange is checked frees its slot
    When a backend server crashes and its caller leaves before the check is done
    Then the gate's slots are all free

  Scenario: A request that may be repeated is sent once more after its server crashed
    When each server that gets a request crashes
    Then an idempotent request was sent to 2 servers and ended with status 502
    And the next arrival of it was sent to 1 servers and ended with status 502
    And the next arrival of it was sent to 0 servers and ended with status 503
