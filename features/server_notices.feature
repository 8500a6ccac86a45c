Feature: The fleet follows what a backend server says of itself in its responses

  Scenario: A limited server gets requests one by one although its slots are free
    Given a gate beside a backend server with 4 slots
    When its response names the limit "2"
    And 2 requests arrive at the gate
    Then nothing runs yet
    When 500 ms pass and the queue wakes
    Then requests 1 run
    When 500 ms pass and the queue wakes
    Then requests 1,2 run

  Scenario: A quiet time saves up no more than a short burst
    Given a gate beside a backend server with 4 slots
    When its response names the limit "8"
    And 60000 ms pass at the gate
    And 4 requests arrive at the gate
    Then requests 1,2 run
    And request 3 waits

  Scenario: Rejections and failed requests count towards the limit
    Given a gate beside a backend server with 4 slots
    When its response names the limit "1"
    And 1000 ms pass at the gate
    And request 1 arrives and its backend server rejects it unexecuted
    And request 2 arrives without time to wait
    Then request 2 is refused as "overloaded" with verdict "not-run"
    And request 2 gets a time to retry of 1000 to 1000 ms

  Scenario: Requests that a lower limit starts too late are refused at once
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When 4 requests arrive at the gate
    And its response names the limit "1.25"
    Then request 2 waits
    And request 3 is refused as "overloaded" with verdict "not-run"
    And request 3 gets a time to retry of 1600 to 1600 ms
    And request 4 is refused as "overloaded" with verdict "not-run"

  Scenario Outline: Only a number that can be read changes the limit
    Given a gate beside a backend server with 4 slots
    When its response names the limit "2"
    And its response names the limit "<text>"
    Then the gate's limit is <limit> requests a second

    Examples:
      | text      | limit |
      | 0.5       | 0.5   |
      | 10        | 10    |
      | .75       | 0.75  |
      | 0         | 0.25  |
      | 0.001     | 0.25  |
      | -1        | 2     |
      | nan       | 2     |
      | inf       | 2     |
      | 1e309     | 2     |
      | 1_0       | 2     |
      | ٣         | 2     |
      | 1, 3      | 2     |
      | empty     | 2     |
      | 5 and 1   | 1     |
      | -1 and 3  | 3     |
      | none      | 0     |

  Scenario: A limit ends with a response that names none, and what waits is started
    Given a gate beside a backend server with 4 slots
    When its response names the limit "2"
    And 2 requests arrive at the gate
    And its response names the limit "none"
    Then requests 1,2 run

  Scenario: A rejection that names no limit does not end one
    Given a gate beside a backend server with 4 slots
    When its response names the limit "2"
    And the backend server rejects a request and names no limit
    Then the gate's limit is 2 requests a second

  Scenario: A new process of the server starts without the limit of the last one
    Given a gate beside a backend server with 4 slots
    When its response names the limit "1"
    And the backend server is announced by a new process
    And 4 requests arrive at the gate
    Then requests 1,2,3,4 run

  Scenario: A restarted gate keeps to the limit that entries know until it knows better
    Given a gate beside a backend server with 4 slots
    When request 1 arrives from an entry that knows the limit 1
    Then nothing runs yet
    When its response names the limit "none"
    And request 2 arrives from an entry that knows the limit 1
    Then requests 1,2 run

  Scenario Outline: Only the server's own response to the request is believed
    When the backend server is asked and answers with "<answer>"
    Then the gate believes the limit <limit>

    Examples:
      | answer                          | limit |
      | its own answer with a limit     | 1.5   |
      | a limit of another instance     | 0     |
      | a limit in a late answer        | 0     |
      | a limit in 503 not executed     | 1.5   |

  Scenario: Entries learn a limit, its change and its end from the target's daemon
    Given a daemon beside a backend server, and an entry
    When the backend server's response names the limit "3" at its daemon
    Then the entry knows the limit 3
    When the backend server's response names the limit "none" at its daemon
    Then the entry knows the limit 0

  Scenario: An entry that passed a limit on knows it while a restarted gate does not
    Given a daemon beside a backend server, and an entry
    When the entry passes on a response with the limit "3"
    And the daemon beside the backend server restarts
    Then the entry knows the limit 3
    When the entry passes on a response with the limit "none"
    Then the entry knows the limit 0

  Scenario: A server that says it leaves gets nothing new, whatever it announces
    Given a daemon beside a backend server, and an entry
    When the backend server's response says at its daemon that it leaves
    And the leaving server announces itself again
    Then the gate refuses its requests as "leaving"
    And the entry picks no target

  Scenario: An entry that passed on that a server leaves never picks it again
    Given a daemon beside a backend server, and an entry
    When the entry passes on a response of a leaving server
    And the daemon beside the backend server restarts
    Then the entry picks no target
    When the entry passes on a response with the limit "none"
    Then the entry picks no target
    When the backend server restarts under the same name
    Then the entry picks the target

  Scenario: A refused request is sent on to targets without a limit first
    Given an entry with 6 targets, of which 4 take 1 request a second
    When it gets 20 requests a second, like the daemons beside them
    And requests that were refused by a limited target look for another
    Then none of them goes to a limited target

  Scenario Outline: An entry sends a limited target its share, and the others the rest
    Given an entry with 6 targets, of which <limited> take 1 request a second
    When it gets <rate> requests a second, like the daemons beside them
    Then a limited target gets <least> to <most> % of them

    Examples:
      | limited | rate | least | most |
      | 1       | 20   | 1     | 3    |
      | 2       | 20   | 1     | 3    |
      | 2       | 1    | 14    | 20   |
      | 6       | 20   | 14    | 20   |
