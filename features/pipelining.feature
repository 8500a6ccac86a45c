Feature: Requests that a caller sends before the first response are answered in order

  Background:
    Given an HTTP server in memory

  Scenario: Each of several requests in one segment gets its own response, in order
    When a caller pipelines "echo-1 wait echo-2 echo-3" in segments of 4096 bytes
    Then the responses are "echo-1 good echo-2 echo-3"

  Scenario: It does not matter where the segments end
    Then responses are in order for 60 random pipelines in random segments

  Scenario Outline: Requests behind a response that closes the connection are not run
    When a caller pipelines "<requests>" in segments of 4096 bytes
    Then the responses are "<responses>"
    And only "<handled>" were handled

    Examples:
      | requests                | responses    | handled      |
      | echo-1 close echo-2     | echo-1 good  | echo-1 close |
      | close echo-1 echo-2     | good         | close        |
      | echo-1 malformed echo-2 | echo-1 400   | echo-1       |

  Scenario: Requests behind a failure in the middle are answered
    When a caller pipelines "echo-1 broken echo-2" in segments of 4096 bytes
    Then the responses are "echo-1 500 echo-2"

  Scenario: Requests behind one that ends when the server drains are not run
    When a caller pipelines "wait echo-1" while the server drains
    Then the responses are "good"
    And only "wait" were handled

  Scenario Outline: A caller that leaves with requests outstanding cancels the first
    When a caller pipelines "<requests>" and leaves while "<running>" is handled
    Then the handler of "<running>" is cancelled within 100 ms
    And only "<handled>" were handled

    Examples:
      | requests            | running | handled       |
      | wait echo-1 echo-2  | wait    | wait          |
      | slow-end wait       | wait    | slow-end wait |
      | upgrade wait        | upgrade | upgrade       |

  Scenario: A caller that sends thousands of requests is held back
    When a caller sends 100000 requests behind one that is handled
    Then the server stopped reading with at most 524288 bytes of requests in memory
