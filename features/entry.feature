Feature: The entry ends each request with one correct outcome

  Background:
    Given an entry that knows 3 targets of service "contracts"

  Scenario: An answer is relayed with its verdict
    When a caller sends GET "/lookup/7"
    Then the answer is 200 with verdict "run" and the body "answer of GET /lookup/7"
    And 1 attempt was made
    And nothing is in flight
    And one request of route "lookup" is counted as "status-200"

  Scenario Outline: A wrong header is refused with a problem that names it
    When a caller sends POST "/sign" with header <header> "<value>"
    Then the answer is 400 with verdict "not-run" and a problem about "<header>"
    And the problem mentions "<allowed>"
    And 0 attempts were made

    Examples:
      | header                   | value | allowed        |
      | wagtailstep-idempotent   | yes   | ?0 or ?1       |
      | wagtailstep-timeout-ms   | -5    | a whole number |
      | wagtailstep-timeout-ms   | 1e3   | a whole number |
      | wagtailstep-service      |       | service        |
      | wagtailstep-first-sending | true | ?0 or ?1       |

  Scenario Outline: Only attempts that are safe to repeat are retried
    Given the first attempt ends as "<end>"
    When a caller sends <method> "/book"
    Then <attempts> attempts were made
    And the answer is <status> with verdict "<verdict>"
    And nothing is in flight

    Examples:
      | end              | method | attempts | status | verdict      |
      | connect refused  | POST   | 2        | 200    | run          |
      | connection lost  | POST   | 1        | 502    | may-have-run |
      | connection lost  | GET    | 2        | 200    | run          |
      | gate overloaded  | POST   | 2        | 200    | run          |
      | gate leaving     | POST   | 2        | 200    | run          |
      | server error     | GET    | 1        | 500    | run          |

  Scenario: Leaving targets do not use up the attempts while another one serves
    Given the first 2 attempts end as "gate leaving"
    When a caller sends POST "/book"
    Then the answer is 200 with verdict "run"

  Scenario: A request without a target uses no retries
    Given all targets are ejected
    When 30 callers send POST "/book" one after the other
    Then the answer is 503 with verdict "not-run"
    And the answer has a Retry-After header
    And all 10 retries are left

  Scenario: The verdict covers all attempts
    Given the first attempt ends as "connection lost"
    And every later attempt ends as "connect refused"
    When a caller sends GET "/book"
    Then the answer is 502 with verdict "may-have-run"

  Scenario: The verdict covers the attempts made before no target was left
    Given the first attempt ends as "connection lost as all targets go"
    When a caller sends GET "/book"
    Then the answer is 502 with verdict "may-have-run"

  Scenario: An overload is not multiplied by retries
    Given every attempt ends as "gate overloaded"
    When 200 callers send POST "/book" one after the other
    Then at most 230 attempts were made
    And the answer is 503 with verdict "not-run"
    And the answer has a Retry-After header
    And it took at most 0 ms

  Scenario: A small body is sent again completely, a large one is not sent again
    Given the first attempt ends as "connect refused after reading the body"
    When a caller sends POST "/book" with a body of 60000 bytes
    Then the answer is 200 with verdict "run"
    And the last attempt got a body of 60000 bytes
    When the first attempt ends as "connect refused after reading the body" again
    And a caller sends POST "/book" with a body of 200000 bytes
    Then the answer is 502 with verdict "not-run"
    And the answer has a Retry-After header

  Scenario Outline: A body larger than the table's limit is refused
    Given callers may send bodies of <limit> bytes
    When a caller sends POST "/book" and announces a body of 60000 bytes
    Then the answer is <status> with verdict "<verdict>"

    Examples:
      | limit | status | verdict |
      | 59999 | 413    | not-run |
      | 60000 | 200    | run     |

  Scenario: A body of unknown length that exceeds the limit ends as may-have-run
    Given callers may send bodies of 3 bytes
    When a caller sends POST "/upload" with a slow body of 5 chunks
    Then the answer is 413 with verdict "may-have-run"

  # Guards against a 400 for a proper upload whose first server rejected it early.
  Scenario Outline: A body whose reading was cancelled is sent again as a whole
    Given the first <count> attempts end as "<end>"
    When a caller sends POST "/upload" with a slow body of 5 chunks
    Then no attempt got a body that looked complete and was not
    And the answer is 200 with verdict "run"
    And the last attempt got a body of 5 bytes

    Examples:
      | count | end                                                        |
      | 1     | gate overloaded while the body is on its way               |
      | 1     | server declines while the body is on its way               |
      | 1     | server declines while a read of the body ends              |

  Scenario: A body that is no longer kept is not sent again
    Given the first attempt ends as "server declines while the body is on its way"
    And the entry keeps at most 1 byte of a body
    When a caller sends POST "/upload" with a slow body of 5 chunks
    Then no attempt got a body that looked complete and was not
    And the answer is 503 with verdict "not-run"
    And 1 attempt was made

  Scenario: A body that has outgrown what is kept can't be opened again
    When a body of 5 chunks of which 1 byte is kept is read and opened again
    Then that is rejected as not run with reason "body-not-kept"

  Scenario: A body that the caller interrupts ends as may-have-run
    When a caller sends POST "/upload" and interrupts its body
    Then the answer is 400 with verdict "may-have-run"
    And nothing is in flight

  Scenario: Reading a truncated answer fails
    Given the first attempt ends as "truncated answer"
    When a caller sends GET "/lookup/7"
    Then reading the answer fails with verdict "may-have-run"
    And nothing is in flight

  Scenario: The first request for a service waits briefly for its targets
    Given the targets become known 300 ms after the first request
    When a caller sends GET "/lookup/7"
    Then the answer is 200 with verdict "run"
    And it took at most 330 ms

  Scenario: Later requests for a service without targets are refused at once
    Given the targets become known 5000 ms after the first request
    When 3 callers send GET "/lookup/7" one after the other
    Then the answer is 503 with verdict "not-run"
    And the answer has a Retry-After header
    And it took at most 1020 ms

  Scenario: The deadline is sent as remaining time and ends the request at once
    Given every attempt hangs
    When a caller sends POST "/sign" with header wagtailstep-timeout-ms "400"
    Then the answer is 504 with verdict "may-have-run"
    And the attempt was sent with at most 400 ms left
    And it took at most 450 ms
    And the hanging attempt was cancelled
    And nothing is in flight

  Scenario Outline: A missed deadline is blamed on a target only if others would have met it
    Given every attempt hangs
    And the targets typically take <usual> ms
    When a caller sends POST "/sign" with header wagtailstep-timeout-ms "<allowed>"
    Then the outcome blames "<blame>" with verdict "may-have-run"

    Examples:
      | usual | allowed | blame          |
      | 100   | 200     | caller         |
      | 100   | 1000    | backend-server |

  Scenario Outline: A daemon without a table reports only verdicts that it knows
    Given this daemon has not read the table yet
    When a caller sends POST "/sign" with header <header> "<value>"
    Then the answer is 503 with verdict "<verdict>"
    And the answer has a Retry-After header
    And 0 attempts were made

    Examples:
      | header                 | value | verdict      |
      | wagtailstep-timeout-ms | 400   | not-run      |
      | idempotency-key        | k1    | may-have-run |

  Scenario: A request that may be routed by its host also needs the table
    Given this daemon has not read the table yet
    When a caller sends GET "/lookup/7" that names no service
    Then the answer is 503 with verdict "not-run" and a problem about "table"

  Scenario: A route's timeout limits the caller's timeout
    Given every attempt hangs
    And the table allows route "sign" of "contracts" 200 ms
    When a caller sends POST "/sign" with header wagtailstep-timeout-ms "5000"
    Then the attempt was sent with at most 200 ms left

  Scenario: The attempt is cancelled when its caller disconnects
    Given every attempt hangs
    When a caller sends POST "/sign" and disconnects after 50 ms
    Then the hanging attempt was cancelled
    And the outcome blames "caller" with verdict "may-have-run"
    And one request of route "sign" is counted as "caller-left"
    And nothing is in flight

  Scenario: A caller that disconnects while it reads its answer
    When a caller sends GET "/lookup/7" and closes the answer unread
    Then the outcome blames "caller" with verdict "may-have-run"
    And nothing is in flight

  Scenario: An internal error of the daemon is reported as may-have-run
    Given every attempt ends as "a programming error"
    When a caller sends POST "/sign"
    Then the answer is 500 with verdict "may-have-run"
    And nothing is in flight

  Scenario: An attempt that something else cancelled is an internal error
    Given every attempt ends as "a cancelled future"
    When a caller sends POST "/sign"
    Then the answer is 500 with verdict "may-have-run"
    And one request of route "sign" is counted as "internal-error"
    And nothing is in flight

  Scenario: A caller that disconnects while a retry is borrowed releases the answer
    Given the first attempt ends as "server error"
    And the retries of the fleet are used up
    When a caller sends GET "/lookup/7" and disconnects after 20 ms
    Then the answer of the backend server was closed
    And the outcome blames "caller" with verdict "may-have-run"
    And nothing is in flight
