Feature: What arrived while the process stood still counts, whatever fell due meanwhile

  Scenario Outline: An answer that arrived in a stall past the deadline is delivered
    Given a server on sockets and an HTTP client with a deadline
    When the <part> of the answer to a <method> arrives in a stall past the deadline
    Then the complete answer is received

    Examples:
      | part               | method |
      | whole              | GET    |
      | whole              | POST   |
      | rest               | GET    |
      | rest               | POST   |
      | whole, of 300000 B | GET    |
      | rest, of 300000 B  | POST   |

  Scenario Outline: A request whose answer is not there ends at its deadline
    Given a server on sockets and an HTTP client with a deadline
    When <bytes> of the answer to a GET arrive in a stall past the deadline
    Then it ends at once as "<reason>" with verdict "may-have-run"

    Examples:
      | bytes  | reason            |
      | none   | deadline-exceeded |
      | a part | truncated-answer  |

  Scenario: An answer without end is cut soon after its deadline
    Given a server on sockets and an HTTP client with a deadline
    When the server goes on sending the answer to a GET after the deadline
    Then it ends at once as "truncated-answer" with verdict "may-have-run"

  Scenario: A connection that opened in a stall past the connect timeout is used
    Given a server on sockets and an HTTP client with a deadline
    When the process stands still past the connect timeout while it connects
    Then each request reaches the server

  Scenario Outline: A request whose deadline passed in a stall is not sent any more
    Given a server on sockets and an HTTP client with a deadline
    When the deadline of a GET passes before it is sent over a <kind> connection
    Then it ends at once as "deadline-exceeded" with verdict "not-run"
    And the server received <count> requests
    And the server is not to blame

    Examples:
      | kind | count |
      | new  | 0     |
      | kept | 1     |

  Scenario Outline: An attempt whose answer arrived in a stall past its timeout is not replaced
    Given a server on sockets and an entry with its gate
    When the answer to a <method> arrives in a stall past its attempt timeout
    Then the complete answer is received
    And the server received 1 request
    And 0 retries are spent

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario: An attempt without an answer is replaced at its timeout
    Given a server on sockets and an entry with its gate
    When no answer to a GET arrives in a stall past its attempt timeout
    Then the server received 2 requests
    And 1 retries are spent

  Scenario Outline: An answer that arrived in a stall past every time limit is delivered
    Given a server on sockets and an entry with its gate
    When the answer to a <method> arrives in a stall past its deadline
    Then the complete answer is received
    And the server received 1 request

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario Outline: A request ends as its gate reports after a stall past every time limit
    Given a server on sockets and an entry with its gate
    When the process stands still past the deadline of a request that <waits>
    Then it ends at once as "deadline-exceeded" with verdict "<verdict>"
    And the error says that <reason>

    Examples:
      | waits                | verdict      | reason                             |
      | waits for a slot     | not-run      | the request was queued at the gate |
      | waits for its answer | may-have-run | within the time limit              |

  Scenario: A request whose slot became free in a stall past its queueing time is run
    Given a server on sockets and an entry with its gate
    When a slot becomes free in a stall past the queueing time of a request
    Then the complete answer is received
    And the server received 2 requests
    And no slot is occupied

  Scenario: A request whose slot became free in a stall past its deadline is not run
    Given a server on sockets and an entry with its gate
    When a slot becomes free in a stall past the deadline of a request
    Then it ends at once as "deadline-exceeded" with verdict "not-run"
    And the server received 1 request
    And no slot is occupied

  Scenario Outline: What an entry waited for arrives in a stall past the deadline
    Given a server on sockets and an entry that waits for <what>
    When it arrives in a stall past the deadline
    Then the complete answer is received

    Examples:
      | what                    |
      | the rest of a body      |
      | a decision on a key     |
      | the answer of a relay   |

  Scenario Outline: What an entry waited for does not arrive in a stall past the deadline
    Given a server on sockets and an entry that waits for <what>
    When it does not arrive in a stall past the deadline
    Then it ends at once as "<reason>" with verdict "<verdict>"

    Examples:
      | what                    | reason            | verdict      |
      | the rest of a body      | deadline-exceeded | not-run      |
      | a decision on a key     | deadline-exceeded | not-run      |
      | the answer of a relay   | duplicate         | may-have-run |

  Scenario Outline: A connection that got its answer in a stall has lost nothing
    Given a server on sockets and an HTTP client with a deadline
    When an answer of <size> B and the news that its request has ended arrive in a stall
    Then the complete answer is received

    Examples:
      | size   |
      | 6      |
      | 300000 |

  Scenario: A connection without an answer to a request that has ended is given up
    Given a server on sockets and an HTTP client with a deadline
    When only the news that its request has ended arrives in a stall
    Then it ends at once as "connection-failed" with verdict "may-have-run"

  Scenario: A request whose answer arrived in a stall is not asked for
    Given a server on sockets and an HTTP client with a deadline
    When an answer arrives in a stall past the silence timeout
    Then the complete answer is received
    And the server received 2 requests
    And the gate counts as reachable

  Scenario Outline: A connection that its server ended in a stall is not used again
    Given a server on sockets and an HTTP client with a deadline
    When the server <ends> a kept connection in a stall before a <method>
    Then the complete answer is received
    And the server received 2 requests

    Examples:
      | ends      | method |
      | closes    | GET    |
      | closes    | POST   |
      | writes on | POST   |

  Scenario: A backend server that announced itself in a stall past its lease stays
    Given a daemon to which a backend server announces itself over sockets
    When its next announcement arrives in a stall past its lease
    Then the target was always "serving"

  Scenario: A backend server that went silent before a stall past its lease leaves
    Given a daemon to which a backend server announces itself over sockets
    When no announcement arrives in a stall past its lease
    Then the target was first "serving" and then "leaving"

  Scenario: A request without an answer ends soon after its deadline in a slow process
    Given a server on sockets and an entry with its gate
    When a request gets no answer while each turn of the event loop takes 50 ms
    Then it ends at once as "deadline-exceeded" with verdict "may-have-run"
    And it ended within 500 ms of its deadline

  Scenario: A deadline ends a series of waits of which each takes one turn
    When what a deadline limits waits again and again, each time for one turn
    Then the deadline ends it

  Scenario: A deadline that passes while what it limits is already being cancelled
    When a deadline passes while what it limits ends an earlier cancellation slowly
    Then the deadline ends it
    And the event loop reported no error
