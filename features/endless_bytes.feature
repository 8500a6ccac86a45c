Feature: Bytes without end from a backend server are cut off, and its slot is freed

  Scenario Outline: The gate gives the exchange up and resets the connection
    When the backend server answers a request with <bytes>, and goes on until it is closed
    Then the request ends as "<end>" within <limit> ms
    And the server is closed within <limit> ms, after at most <size> KiB
    And the gate's slots are all free

    Examples:
      | bytes                                  | end                                 | limit | size |
      | a head line without end                | connection-failed may-have-run      | 200   | 300  |
      | header lines without end               | connection-failed may-have-run      | 200   | 300  |
      | interim responses without end          | connection-failed may-have-run      | 200   | 300  |
      | a body without length or end           | 200 cut                             | 2100  | 9000 |
      | chunks without end                     | 200 cut                             | 2100  | 9000 |
      | a chunk whose extension has no end     | 200 cut                             | 200   | 300  |
      | a rejection whose body has no end      | not-executed not-run                | 200   | 600  |
      | a late answer whose body has no end    | connection-failed may-have-run      | 700   | 2500 |
      | its answer and junk without end        | 200 whole                           | 5100  | 600  |

  Scenario: A long answer that arrives slowly but in time is kept whole
    When the backend server sends an answer of 200 parts in 1900 ms
    Then the request ends as "200 whole" within 2000 ms

  Scenario: An idempotent request is sent again at once after a failure without end
    Given gates whose backend servers fail with a body without end
    When 2 idempotent requests look for a slot one at a time
    Then each was sent twice within 500 ms

  # Guards against a daemon that keeps them all until it runs out of memory.
  Scenario Outline: A response without end of a platform service is given up
    When a platform service answers a read with <bytes>, and goes on until it is closed
    Then the read fails
    And the service is closed after at most 9000 KiB

    Examples:
      | bytes                        |
      | a head line without end      |
      | header lines without end     |
      | a body without length or end |
      | chunks without end           |
