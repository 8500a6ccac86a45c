Feature: The gate admits what its backend server can handle, and knows which requests did not run
  Scenario: Slots are filled first, and further requests wait in order
    Given a gate beside a backend server with 4 slots
    When 6 requests arrive at the gate
    Then requests 1,2,3,4 run
    And request 5 waits
    When request 2 ends
    Then requests 1,3,4,5 run
    And request 6 waits
    And nothing is refused

  Scenario: A full queue refuses further requests at once
    Given a gate beside a backend server with 4 slots
    When 21 requests arrive at the gate
    Then requests 1,2,3,4 run
    And request 20 waits
    And request 21 is refused as "overloaded" with verdict "not-run"

  Scenario: A request that would wait too long is refused early with a time to retry
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When 5 requests arrive at the gate
    Then requests 1 run
    And request 3 waits
    And request 5 is refused as "overloaded" with verdict "not-run"
    And request 5 gets a time to retry of 1200 to 1200 ms

  Scenario: Long requests in some slots do not lead to refusals while others make progress
    Given a gate beside a backend server with 4 slots
    And requests that take 100 ms each have run
    And 3 requests of a route that takes 10000 ms run
    When 6 requests arrive at the gate
    Then requests 101,102,103,1 run
    And request 6 waits
    And nothing is refused

  Scenario: A request that can't be answered in time is refused without waiting
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When 1 requests arrive at the gate
    And request 2 arrives at the gate with 700 ms left
    And request 3 arrives at the gate with 900 ms left
    Then request 2 is refused as "overloaded" with verdict "not-run"
    And request 3 waits

  Scenario: A request past its deadline is not run
    Given a gate beside a backend server with 1 slots
    When 1 requests arrive at the gate
    And request 2 arrives at the gate with 100 ms left
    And request 3 arrives at the gate with 0 ms left
    And 200 ms pass at the gate
    And request 1 ends
    Then request 2 is refused as "deadline-exceeded" with verdict "not-run"
    And request 3 is refused as "deadline-exceeded" with verdict "not-run"

  Scenario: A leaving backend server gets no new requests, but those that wait still run
    Given a gate beside a backend server with 1 slots
    When 2 requests arrive at the gate
    And the backend server starts to leave
    And request 3 arrives at the gate with 1000 ms left
    And request 1 ends
    Then request 3 is refused as "leaving" with verdict "not-run"
    And requests 2 run

  Scenario: A target that is not beside the gate is refused
    Given a gate beside a backend server with 4 slots
    When request 1 arrives for a target that is not beside the gate
    Then request 1 is refused as "no-target" with verdict "not-run"

  Scenario: A caller that disconnects frees its slot or its place in the queue
    Given a gate beside a backend server with 1 slots
    When 3 requests arrive at the gate
    And the caller of request 2 disconnects
    And the caller of request 1 disconnects
    Then requests 3 run

  Scenario: A non-idempotent request is not accepted twice
    Given a gate beside a backend server with 4 slots
    When 1 requests arrive at the gate
    And request 1 ends
    And request 1 arrives again as request 2
    Then request 2 is refused as "duplicate" with verdict "may-have-run"

  Scenario: A request that left the queue without running may be sent again
    Given a gate beside a backend server with 1 slots
    When 2 requests arrive at the gate
    And the caller of request 2 disconnects
    And request 2 arrives again as request 3
    Then request 3 waits

  Scenario: An attempt revoked before it arrives is refused for good
    Given a gate beside a backend server with 4 slots
    When attempt 1 is revoked by its entry
    Then the entry gets the attempt state "revoked"
    When 300000 ms pass at the gate
    And 1 requests arrive at the gate
    Then request 1 is refused as "connection-failed" with verdict "not-run"

  Scenario: An attempt that arrived can't be revoked
    Given a gate beside a backend server with 1 slots
    When 2 requests arrive at the gate
    And attempt 2 is revoked by its entry
    Then the entry gets the attempt state "held"
    When request 1 ends
    And attempt 1 is revoked by its entry
    Then the entry gets the attempt state "ended"

  Scenario: The limit falls when the backend server refuses requests, and rises again
    Given a gate beside a backend server with 4 slots
    When the backend server refuses 10 requests one after the other
    Then 1 request may run at once
    When 60 rounds of full load run, of which it sustains 4 at once
    Then 4 requests may run at once

  Scenario: The limit adapts to a backend server that sustains less than its slots
    Given a gate beside a backend server with 4 slots
    And requests that take 10 ms each have run
    When 60 rounds of full load run, of which it sustains 2 at once
    Then between 2 and 3 requests may run at once

  Scenario: A hanging backend server gets fewer requests at once
    Given a gate beside a backend server with 4 slots
    And requests that take 10 ms each have run
    When 10 requests miss their deadline after 1000 ms at the backend server
    Then 1 request may run at once

  Scenario: Requests with short deadlines do not lower the limit
    Given a gate beside a backend server with 4 slots
    And requests that take 10 ms each have run
    When 10 requests miss their deadline after 5 ms at the backend server
    Then 4 requests may run at once

  Scenario: A request that may not wait is refused at once with its expected wait
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When 1 requests arrive at the gate
    And request 2 arrives that may not wait
    Then request 2 is refused as "overloaded" with verdict "not-run"
    And request 2 gets a time to retry of 400 to 400 ms

  Scenario: Waiting requests run in the order of their priority
    Given a gate beside a backend server with 1 slots
    When 1 requests arrive at the gate
    And request 2 arrives with priority 2
    And request 3 arrives with priority 1
    And request 1 ends
    Then requests 3 run
    And request 2 waits

  Scenario: The expected wait of a request leaves out those that it overtakes
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When 1 requests arrive at the gate
    And request 2 arrives with priority 2
    And request 3 arrives with priority 2
    And request 4 arrives with priority 1 and 1300 ms until its aim
    Then request 4 waits
    And nothing is refused

  Scenario: A request that would miss its aim by queueing is refused
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When 1 requests arrive at the gate
    And request 2 arrives with priority 1 and 1100 ms until its aim
    Then request 2 is refused as "overloaded" with verdict "not-run"

  Scenario: With trusted slots, refusals while slots are free do not lower the limit
    Given a gate beside a backend server with 4 slots that are trusted
    When the backend server refuses 10 requests one after the other
    Then 4 requests may run at once

  Scenario: A request that the backend server did not execute may be sent to it again
    Given a gate beside a backend server with 4 slots
    When request 1 arrives and its backend server rejects it unexecuted
    And request 1 arrives again under attempt 2
    Then nothing is refused

  Scenario: A request that the backend server may have executed is not sent to it again
    Given a gate beside a backend server with 4 slots
    When request 1 arrives and its backend server closes the connection
    And request 1 arrives again under attempt 2
    Then request 1 is refused as "duplicate" with verdict "may-have-run"
