Feature: A caller's connection is never closed under a request that was read

  Scenario Outline: A time limit that falls due while the daemon stands still
    Given a kept connection to an HTTP server on sockets
    When a request for "<path>" arrives in a stall past the <limit> limit
    Then the request is answered with "good"
    And no request was cancelled

    Examples:
      | limit | path  |
      | idle  | /good |
      | idle  | /wait |
      | head  | /good |
      | head  | /wait |

  Scenario: A time limit that was started while an earlier request ended
    Given a kept connection to an HTTP server on sockets
    When the next request arrives while the handler of "/slow-end" is still ending
    And a request every 30 s follows, and one that lasts beyond the idle limit
    Then the request is answered with "good"
    And no request was cancelled

  Scenario Outline: A time limit applies again once the connection waits
    Given a kept connection to an HTTP server on sockets
    When the connection waits past the <limit> limit
    Then the connection is closed without an answer

    Examples:
      | limit |
      | idle  |
      | head  |

  Scenario: A request whose connection ends in the turn that reads it
    Given a kept connection to an HTTP server on sockets
    When request "r-1" arrives in one segment with malformed bytes in its body
    Then the request is not handled
    And one line tells that request "r-1" was ended by "malformed-request"

  Scenario Outline: The log tells who ended a connection with a request in progress
    Given a kept connection to an HTTP server on sockets
    When the connection of request "r-1" ends because <end>
    Then one line tells that request "r-1" was ended by "<ended by>"

    Examples:
      | end                               | ended by          |
      | the caller closes it              | caller-closed     |
      | the caller resets it              | connection-failed |
      | the server stops                  | server-stopped    |
      | malformed bytes follow            | malformed-request |
      | the handler is cancelled          | cancelled         |
      | the response can't be written     | response-failed   |

  Scenario Outline: A request that arrives while the listener closes
    Given a kept connection to an HTTP server on sockets
    When a new connection sends a request <turns> turns before the server drains
    Then the request is answered with "good" or was never read

    Examples:
      | turns |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  Scenario: An answer that closes the connection while the caller still sends
    Given a kept connection to an HTTP server on sockets
    When the server stops to accept and answers an upload before its end
    Then the request is answered with "good"
    And the caller could send all of its upload

  Scenario: A caller that does not go on with its upload does not keep its connection
    Given a kept connection to an HTTP server on sockets
    When the server stops to accept and answers an upload that never ends
    Then the connection is closed behind the answer

  Scenario: A caller that leaves after an early answer is not reported
    Given a kept connection to an HTTP server on sockets
    When the server stops to accept and answers an upload whose caller then leaves
    Then no request was reported as interrupted
