Feature: Of two copies of a slow request exactly one response is delivered

  Each scenario guards against a copy that is left running, a count that is released
  twice or never, or a response that is dropped although it could be delivered.

  Background:
    Given an entry with hedging that knows 3 targets, which usually answer in 100 ms

  Scenario: The second copy answers while the first one hangs
    Given the first copy ends after 9000 ms as "200"
    And the second copy ends after 50 ms as "200"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the second copy after at most 170 ms
    And the first copy was cancelled
    And the hedge is recorded as "sent,won"
    And the metrics count a hedge that was "won" for "contracts"
    And the slow copy is reported as evidence on the first target
    And each copy has ended once and nothing is in flight

  Scenario Outline: The first copy answers before the second one
    Given the first copy ends after <first> ms as "200"
    And the second copy ends after <second> ms as "<end>"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the first copy after at most 330 ms
    And the hedge is recorded as "<outcome>"
    And each copy has ended once and nothing is in flight

    Examples:
      | first | second | end             | outcome        |
      | 90    | 50     | 200             |                |
      | 300   | 900    | 200             | sent,cancelled |
      | 300   | 50     | 500             | sent,failed    |
      | 300   | 50     | connection lost | sent,failed    |
      | 300   | 50     | internal error  | sent,failed    |

  Scenario Outline: A second copy that finds a full gate is sent to another one
    Given the first copy ends after <first> ms as "200"
    And the second copy ends after 10 ms as "full gate"
    And the third copy ends after 50 ms as "<third>"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the <winner> copy after at most 330 ms
    And the hedge is recorded as "<outcome>"
    And each copy has ended once and nothing is in flight

    Examples:
      | first | third     | winner | outcome     |
      | 9000  | 200       | third  | sent,won    |
      | 300   | full gate | first  | sent,failed |

  Scenario Outline: Both copies answer in the same turn of the event loop
    Given the first copy ends after 300 ms as "200"
    And the second copy ends <lag> turns after it as "200"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from either copy
    And each copy has ended once and nothing is in flight

    Examples:
      | lag |
      | -3  |
      | -2  |
      | -1  |
      | 0   |
      | 1   |
      | 2   |
      | 3   |

  Scenario Outline: If the first copy fails, the second one continues
    Given the first copy ends after 200 ms as "<first>"
    And the second copy ends after 300 ms as "<second>"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets <status> from the <copy> copy after at most 430 ms
    And each copy has ended once and nothing is in flight

    Examples:
      | first           | second          | status | copy   |
      | connection lost | 200             | 200    | second |
      | 500             | 200             | 200    | second |
      | connection lost | 500             | 500    | second |
      | 500             | 500             | 500    | first  |
      | 500             | connection lost | 500    | first  |

  Scenario: If both copies fail, the request fails and may have run
    Given the first copy ends after 300 ms as "connection lost"
    And the second copy ends after 100 ms as "connection lost"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets the error 502 with verdict "may-have-run"
    And each copy has ended once and nothing is in flight

  Scenario: The deadline ends both copies
    Given the first copy ends after 99000 ms as "200"
    And the second copy ends after 99000 ms as "200"
    When a caller sends GET "/lookup/7" with 400 ms left and reads the answer
    Then the caller gets the error 504 with verdict "may-have-run"
    And the first copy was cancelled
    And the second copy was cancelled
    And each copy has ended once and nothing is in flight

  Scenario Outline: A caller that leaves ends both copies
    Given the first copy ends after <first> ms as "500"
    And the second copy ends after 9000 ms as "200"
    When a caller sends GET "/lookup/7" and leaves after 250 ms
    Then the second copy was cancelled
    And each copy has ended once and nothing is in flight

    Examples: both copies wait, or the failure of the first one is held back
      | first |
      | 9000  |
      | 200   |

  Scenario: The request stays admitted until the delivered response ends
    Given the first copy ends after 200 ms as "500"
    And the second copy ends after 300 ms as "200"
    When a caller sends GET "/lookup/7" and closes the answer after its head
    Then the request was in flight until the answer was closed
    And each copy has ended once and nothing is in flight

  Scenario: A response that has begun is delivered although the second copy is faster
    Given the first copy ends after 90 ms as "200 with a slow body"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the first copy after at most 700 ms
    And each copy has ended once and nothing is in flight

  Scenario Outline: Requests that must not be hedged
    Given the first copy ends after 300 ms as "200"
    And <obstacle>
    When a caller sends <method> "/lookup/7" and reads the answer
    Then the caller gets 200 from the first copy after at most 330 ms
    And the hedge is recorded as "<outcome>"
    And each copy has ended once and nothing is in flight

    Examples:
      | method | obstacle                                | outcome               |
      | POST   | nothing else prevents a hedge           |                       |
      | GET    | the daemon drains                       | denied:draining       |
      | GET    | the service lacked a slot 900 ms before | denied:no-capacity    |
      | GET    | the body arrives slowly                 | denied:body-not-kept  |
      | GET    | there is no other target                | denied:no-target      |
      | GET    | hedges have used up the limit           | denied:over-limit     |
      | GET    | half of the retry budget is used        | denied:low-budget     |
      | GET    | a request may be sent once only         | denied:no-attempts    |

  Scenario: A hedge that the limit denied is sent when the limit permits it
    Given the first copy ends after 9000 ms as "200"
    And the second copy ends after 150 ms as "200"
    And hedges have used up the limit until 150 ms after the request
    When a caller sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the second copy after at most 270 ms
    And the hedge is recorded as "denied:over-limit,sent,won"
    And each copy has ended once and nothing is in flight

  Scenario: Without hedging a slow attempt is abandoned as before
    Given hedging is off
    And the first copy ends after 9000 ms as "200"
    And the second copy ends after 50 ms as "200"
    When a caller with an aim of 500 ms sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the second copy after at most 360 ms
    And the hedge is recorded as ""
    And each copy has ended once and nothing is in flight

  Scenario: With hedging a slow attempt is not abandoned
    Given the first copy ends after 400 ms as "200"
    And hedges have used up the limit
    When a caller with an aim of 500 ms sends GET "/lookup/7" and reads the answer
    Then the caller gets 200 from the first copy after at most 430 ms
    And each copy has ended once and nothing is in flight

  Scenario Outline: A suspect network path is avoided by the second copy
    Given the third target is in another zone
    And <path>
    And the first copy ends after 9000 ms as "200"
    And the second copy ends after 50 ms as "200"
    When a caller sends GET "/lookup/7" and reads the answer
    Then the second copy went to the zone "<zone>"

    Examples:
      | path                             | zone |
      | all daemons are alive            | bole |
      | the daemons of "bole" are suspect | hana |

  Scenario Outline: The gate frees the slot of a copy that lost, over sockets
    Given an entry and its gate with two targets, and a request whose copies both run
    When the server of the <winner> copy answers
    Then the caller gets the body of the <winner> copy
    And the connection of the <loser> copy is closed
    And no request occupies a slot of the gate and nothing is in flight there

    Examples:
      | winner | loser  |
      | first  | second |
      | second | first  |
