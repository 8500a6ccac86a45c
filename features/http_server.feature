Feature: The HTTP server streams bodies and reports bad input correctly
  Scenario Outline: A bad request is rejected without affecting other requests
    Given an HTTP server in memory
    When a caller sends a bad request "<kind>" while a good one is in progress
    Then the bad request is answered with status "<status>" and verdict not-run
    And its handler was not called
    And the good request was answered
    And exactly one line was logged

    Examples:
      | kind              | status |
      | no HTTP           | 400    |
      | oversized header  | 431    |
      | two lengths       | 400    |
      | length and chunks | 400    |
      | no host           | 400    |
      | tunnel            | 405    |

  Scenario: A body that the caller interrupts cancels the handler
    Given an HTTP server in memory
    When a caller disconnects in the middle of a request body
    Then the handler of "/read" was cancelled
    And the good request was answered
    And exactly one line was logged

  Scenario: A malformed chunk within a body gives no not-run verdict
    Given an HTTP server in memory
    When a caller sends a malformed chunk within a body
    Then no verdict not-run was given

  Scenario Outline: A truncated response never looks complete
    Given an HTTP server in memory
    When a caller requests "<path>" over HTTP "<version>"
    Then a client can tell that the response was interrupted
    And exactly one line was logged

    Examples:
      | version | path              |
      | 1.1     | /truncated-chunks |
      | 1.1     | /truncated-length |
      | 1.0     | /truncated-chunks |
      | 1.1     | /broken-body      |
      | 1.0     | /broken-body      |
      | 1.1     | /cancelled-body   |
      | 1.0     | /cancelled-body   |

  Scenario Outline: An answer that can't be written is replaced, not dropped
    Given an HTTP server in memory
    When a caller requests "<path>" over HTTP "<version>"
    Then the response has status "502" and verdict may-have-run
    And it is a complete problem with reason "invalid-answer"
    And exactly one line was logged

    Examples:
      | version | path              |
      | 1.1     | /unwritable       |
      | 1.0     | /unwritable       |
      | 1.1     | /unwritable-name  |
      | 1.1     | /unencodable      |
      | 1.1     | /status-99        |
      | 1.1     | /status-101       |
      | 1.1     | /status-600       |
      | 1.1     | /status-1000      |
      | 1.1     | /length-0         |

  Scenario: A connection goes on after an answer that can't be written
    Given an HTTP server in memory
    When a caller requests "/unwritable" and "/good" on one connection
    Then the response has status "502" and verdict may-have-run
    And the good request was answered

  Scenario Outline: An answer of another length than announced never looks complete
    Given an HTTP server in memory
    When a caller requests "<path>" over HTTP "<version>"
    Then no client takes the response for complete
    And exactly one line was logged

    Examples:
      | version | path       |
      | 1.1     | /length-2  |
      | 1.1     | /length-4  |
      | 1.1     | /length-6  |
      | 1.1     | /length-20 |
      | 1.0     | /length-6  |

  Scenario Outline: A body that an answer can't have is left out
    Given an HTTP server in memory
    When a caller sends <method> for "<path>" and "/good" on one connection
    Then the response has status "<status>" and no body
    And the good request was answered

    Examples:
      | method | path        | status |
      | GET    | /status-204 | 204    |
      | GET    | /status-304 | 304    |
      | HEAD   | /good       | 200    |
      | HEAD   | /length-9   | 200    |

  Scenario: An internal error of the daemon gives the verdict may-have-run
    Given an HTTP server in memory
    When a caller requests "/broken" over HTTP "1.1"
    Then the response has status "500" and verdict may-have-run

  Scenario: A handler that something else cancelled still answers
    Given an HTTP server in memory
    When a caller requests "/cancelled" over HTTP "1.1"
    Then the response has status "500" and verdict may-have-run
    And it is a complete problem with reason "request-failed"
    And exactly one line was logged, with a traceback

  Scenario: An error after a response does not end the next request's connection
    Given an HTTP server in memory
    When a caller requests "/failing-end" and then "/wait" on one connection
    Then both requests were answered
    And exactly one line was logged, with a traceback

  Scenario: A caller can't hold a connection with a head that never ends
    Given an HTTP server in memory
    When a caller sends the head of a request one byte every 10 s
    Then the server closes the connection before the head is complete

  Scenario: A caller that disconnects cancels its request
    Given an HTTP server in memory
    When a caller disconnects while its request is handled
    Then the handler of "/wait" was cancelled

  Scenario: A caller that offers another protocol and disconnects cancels its request
    Given an HTTP server in memory
    When a caller that offers an upgrade to "h2c" disconnects while it is handled
    Then the handler of "/wait" was cancelled

  Scenario: A caller that reads slowly slows down the response
    Given an HTTP server in memory
    When a caller reads nothing of a huge response
    Then fewer than 400 of its chunks were produced before it was read
    And the complete huge response arrived

  Scenario: A handler that reads slowly slows down the caller
    Given an HTTP server in memory
    When a caller sends a huge body to a handler that does not read it
    Then the server stopped reading from the caller with at most 524288 bytes in memory

  Scenario: A drain completes every accepted request
    Given an HTTP server in memory
    When the server drains with one request in flight and one kept-alive connection
    Then a new connection was refused
    And the kept-alive connection got a response that closes it
    And the drain ended only after the request in flight had completed

  Scenario: A drain serves no request that its limit would cut off
    Given an HTTP server in memory
    When the server drains for 3 s with one request in flight, and a kept-alive connection waits until 50 ms before the limit
    Then the kept-alive connection was closed before
    And only the handler of "/wait" was cancelled

  Scenario: A drain without requests ends before its limit
    Given an HTTP server in memory
    When the server drains for 200 ms without a request
    Then the drain had ended in time

  Scenario: A drain tells that a caller has not taken its whole answer
    Given an HTTP server in memory
    When the server drains while a caller has not read the end of its answer
    Then the drain had not ended in time
