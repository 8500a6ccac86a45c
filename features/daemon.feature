Feature: A daemon carries requests and survives its surroundings
  Scenario: An error of one controller keeps nothing from the others
    Given a runtime whose first controller fails on every event
    When a tick is dispatched
    Then the second controller has seen the tick

  Scenario: A stream is followed through an outage without losing or repeating records
    Given a log service with 5 records that is away
    When a follower reads the stream 2 times
    And the log service comes back and the follower reads the stream 3 times
    Then the follower has dispatched the records "0, 1, 2, 3, 4" and no gap
    And it has told the end of the stream with next offset 5
    And it has reported the log service as "away, away, reachable, reachable, reachable"

  Scenario: Records that expired before they were read are a gap, not silence
    Given a log service with 5 records of which the follower has read 2
    When the first 4 records expire and the follower reads the stream 3 times
    Then the follower has dispatched the records "0, 1, 4" and a gap up to 4

  Scenario Outline: An append ends in what is known of it
    Given a runtime with a log service that <fault>
    When a controller appends a record
    Then the append is settled with offset "<offset>" and may have applied "<applied>"

    Examples:
      | fault                      | offset | applied |
      | works                      | 0      | False   |
      | is away                    | None   | False   |
      | loses every acknowledgment | None   | True    |

  Scenario: A message that can't be read is dropped
    Given a runtime whose first controller fails on every event
    When a peer message with an unknown body arrives
    Then the second controller has seen nothing

  Scenario: A daemon without a table refuses requests as not run
    Given two daemons and a backend server beside the second, with the log away
    When a caller sends a lookup through the first daemon
    Then the caller is told "not-ready" with verdict "not-run" and when to come back

  Scenario: A request crosses two daemons and a planned change cuts nothing
    Given two daemons and a backend server beside the second, with a table
    When a caller sends a lookup through the first daemon
    Then the caller has the whole answer to its own request
    When the second daemon is told to exit while an upload through the first is halfway
    And the rest of the upload is sent
    Then the upload is answered whole and the second daemon exits with nothing cut
    And the first daemon sends no new request to the target that left

  Scenario: A daemon that exits waits for the tickets that it has just issued
    Given two daemons and a backend server beside the second, with a table
    And the first daemon has issued a ticket and is told to exit
    When the ticket is used at the second daemon
    Then the caller has the whole answer to its own request
    And the first daemon exits with nothing cut
