Feature: Callers' connections end only where no request is lost, and the log says why

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

  Scenario: Whatever pauses and stalls come, a request that is handled is answered
    Given a kept connection to an HTTP server on sockets
    Then each handled request is answered in 200 random series of requests and stalls

  Scenario: A time limit applies again once the connection waits
    Given a kept connection to an HTTP server on sockets
    When the connection waits past the idle limit
    Then the connection is closed without an answer
    And no line was logged

  Scenario Outline: A caller learns that its incomplete head was not run
    Given a <kind> connection to an HTTP server on sockets
    When the connection waits past the head limit
    Then the connection is closed behind an answer 408 with verdict not-run
    And one line tells of "head-timeout"

    Examples:
      | kind |
      | kept |
      | new  |

  Scenario: A caller whose head is incomplete gets its earlier answers first
    Given a kept connection to an HTTP server on sockets
    When a request arrives with a part of the next head, which waits past its limit
    Then the request is answered, then 408 with verdict not-run

  Scenario: A time limit that falls due on a connection that already closes
    Given a kept connection to an HTTP server on sockets
    When the server closes the connection within a head, but its data is not read in time
    Then no line was logged

  Scenario Outline: A connection waits for as long as the operator allows
    Given a kept connection to an HTTP server on sockets
    And the operator allows <idle> s between requests and <head> s for a head
    When the connection waits on the <limit> limit for <wait> s
    Then the server holds <count> connections

    Examples:
      | idle | head | limit | wait | count |
      | 200  | 10   | idle  | 199  | 1     |
      | 200  | 10   | idle  | 201  | 0     |
      | 200  | 10   | head  | 9    | 1     |
      | 200  | 10   | head  | 11   | 0     |
      | 10   | 200  | idle  | 9    | 1     |
      | 10   | 200  | idle  | 11   | 0     |
      | 10   | 200  | head  | 199  | 1     |
      | 10   | 200  | head  | 201  | 0     |

  Scenario Outline: A change of a limit never shortens the wait that has begun
    Given a kept connection to an HTTP server on sockets
    And the operator allows <before> s between requests and <before> s for a head
    When the connection waits on the <limit> limit for <wait> s and it becomes <after> s
    Then the server holds <count> connections

    Examples:
      | limit | before | after | wait | count |
      | idle  | 50     | 200   | 199  | 1     |
      | idle  | 50     | 200   | 201  | 0     |
      | idle  | 200    | 50    | 199  | 1     |
      | idle  | 200    | 50    | 201  | 0     |
      | head  | 50     | 200   | 199  | 1     |
      | head  | 50     | 200   | 201  | 0     |
      | head  | 200    | 50    | 199  | 1     |
      | head  | 200    | 50    | 201  | 0     |

  Scenario Outline: A limit that became shorter applies from the next response on
    Given a kept connection to an HTTP server on sockets
    And the operator allows 200 s between requests and 200 s for a head
    When the limits become 50 s, a request comes after 100 s, and <wait> s pass
    Then the server holds <count> connections

    Examples:
      | wait | count |
      | 49   | 1     |
      | 51   | 0     |

  Scenario: The bytes of a head that trickles in don't extend its limit
    Given a kept connection to an HTTP server on sockets
    And the operator allows 200 s between requests and 10 s for a head
    When a caller sends one byte of a head every 3 s
    Then the connection ended after 4 bytes

  Scenario: Only the connections of callers have the time limits of the table
    Given a daemon whose table allows callers 200 s between requests
    When a connection to each of its ports has been idle for 100 s
    Then only the connection to its "caller_server" is open

  Scenario: A server that stops doesn't start to handle requests that it cuts off
    Given a kept connection to an HTTP server on sockets
    When the server stops while a request is in progress and others are unread
    Then the request is not handled

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

  Scenario: A planned stop does not cut the end off an answer that came early
    Given an HTTP server in memory
    When the server stops within the linger time of a chunked answer to an upload
    Then the chunked answer is complete
