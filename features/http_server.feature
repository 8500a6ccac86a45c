Feature: The HTTP server streams, and tells a caller the truth about bad input
  Scenario Outline: A bad request is refused and disturbs nobody
    Given an HTTP server in memory
    When a caller sends a bad request "<kind>" beside a good one in progress
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

  Scenario: A body that the caller cuts is told to the handler
    Given an HTTP server in memory
    When a caller cuts the body of a request
    Then the handler of "/read" was cancelled
    And the good request was answered
    And exactly one line was logged

  Scenario: A malformed chunk within a body claims nothing about the request
    Given an HTTP server in memory
    When a caller sends a chunk that is not one within a body
    Then no verdict not-run was given

  Scenario Outline: A truncated answer never looks whole
    Given an HTTP server in memory
    When a caller asks over "<version>" for "<path>"
    Then the answer is broken off visibly
    And exactly one line was logged

    Examples:
      | version | path              |
      | 1.1     | /truncated-chunks |
      | 1.1     | /truncated-length |
      | 1.0     | /truncated-chunks |

  Scenario: A fault of the daemon claims nothing about the request
    Given an HTTP server in memory
    When a caller asks over "1.1" for "/broken"
    Then the answer has status "500" and verdict may-have-run

  Scenario: A caller can't hold a connection with an endless head
    Given an HTTP server in memory
    When a caller sends the head of a request one byte every 10 s
    Then the server closes the connection before the head is whole

  Scenario: A caller that goes away cancels its request
    Given an HTTP server in memory
    When a caller goes away while its request is handled
    Then the handler of "/wait" was cancelled

  Scenario: A slow reader holds the answer back
    Given an HTTP server in memory
    When a caller reads nothing of a huge answer
    Then fewer than 400 chunks of it were made before it was read
    And the whole huge answer arrived

  Scenario: A slow handler holds the caller back
    Given an HTTP server in memory
    When a caller sends a huge body to a handler that does not read
    Then the server held back the caller with at most 524288 bytes in memory

  Scenario: A drain refuses nothing that was accepted
    Given an HTTP server in memory
    When the server drains with one request in flight and one kept connection
    Then a new connection was refused
    And the kept connection was answered and told to close
    And the drain ended only after the request in flight
