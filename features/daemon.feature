Feature: A daemon relays requests and tolerates failures around it
  Scenario: An exception in one controller does not keep events from the others
    Given a runtime whose first controller fails on every event
    When a tick is dispatched
    Then the second controller has received the tick

  Scenario: After an outage of the log service no record is lost or repeated
    Given an unavailable log service with 5 records
    When a follower reads the stream 2 times
    And the log service recovers and the follower reads the stream 3 times
    Then the follower has dispatched the records "0, 1, 2, 3, 4" and no gap
    And it has reported the end of the stream with next offset 5
    And it has reported the log service as "unavailable, unavailable, reachable, reachable, reachable"

  Scenario: Records that expired before they were read are reported as a gap
    Given a log service with 5 records of which the follower has read 2
    When the first 4 records expire and the follower reads the stream 3 times
    Then the follower has dispatched the records "0, 1, 4" and a gap up to 4

  Scenario Outline: The result of an append says what is known about it
    Given a runtime with a log service that <fault>
    When a controller appends a record
    Then the append finishes with offset "<offset>" and may have applied "<applied>"

    Examples:
      | fault                      | offset | applied |
      | works                      | 0      | False   |
      | is away                    | None   | False   |
      | loses every acknowledgment | None   | True    |

  Scenario: A message that can't be decoded is dropped
    Given a runtime whose first controller fails on every event
    When a peer message with an unknown body arrives
    Then the second controller has received nothing

  Scenario: A long control message is compressed and arrives unchanged
    Then a page of 128 members takes less than 4096 bytes and decodes to itself

  Scenario: A daemon without a table refuses requests as not-run
    Given two daemons and a backend server beside the second, and an unavailable log
    When a caller sends a lookup through the first daemon
    Then the caller gets "not-ready" with verdict "not-run" and a Retry-After header

  Scenario: A request passes two daemons, and a planned shutdown interrupts nothing
    Given two daemons and a backend server beside the second, with a table
    When a caller sends a lookup through the first daemon
    Then the caller has the complete answer to its own request
    When the second daemon is told to exit while an upload through the first is halfway
    And the rest of the upload is sent
    Then the upload is answered completely and the second daemon exits cleanly
    And the first daemon sends no new request to the target that left

  Scenario: A daemon that exits waits for the tickets that it has just issued
    Given two daemons and a backend server beside the second, with a table
    And the first daemon has issued a ticket and is told to exit
    When the ticket is used at the second daemon
    Then the caller has the complete answer to its own request
    And the first daemon exits cleanly

  Scenario: The daemon's own endpoints have callers leave a daemon that stops
    Given two daemons and a backend server beside the second, with a table
    When the first daemon is told to exit and is asked for its status
    Then the status comes with "connection: close"
    And the first daemon exits cleanly
