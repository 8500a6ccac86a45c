Feature: Late and duplicate announcements are ignored

  Background:
    Given a controller of announcements

  Scenario: An announcement that arrives after a newer one is ignored
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "leaving"
    And process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    Then the target "contracts/i-1" is "leaving"

  Scenario: A late announcement does not bring back a process that has left
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And its backend server withdraws
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "leaving"

  Scenario: A new process with the same target id is accepted
    When process 5 of "contracts/i-1" announces itself with sequence 9 as "leaving"
    And process 6 of "contracts/i-1" announces itself with sequence 1 as "serving"
    Then the target "contracts/i-1" is "serving"

  # Guards against a call of the store for each response while it is in trouble.
  Scenario: A departure that each response tells is saved once
    When process 5 of "contracts/i-1" announces itself with sequence 9 as "serving"
    And 20 responses of "contracts/i-1" say that it leaves, and no save succeeds
    Then its departure was saved once, and once again after a second

  Scenario: A new process is not held to what the one before it said in a response
    When process 5 of "contracts/i-1" announces itself with sequence 9 as "serving"
    And a response of "contracts/i-1" says that it leaves
    And process 5 of "contracts/i-1" announces itself with sequence 10 as "serving"
    Then the target "contracts/i-1" is "leaving"
    When process 6 of "contracts/i-1" announces itself with sequence 1 as "serving"
    Then the target "contracts/i-1" is "serving"

  Scenario: A newer process takes over an address, an older one does not
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 6 of "archive/i-2" announces itself with sequence 1 as "serving"
    Then the target "contracts/i-1" is "gone"
    When process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "gone"
    And the target "archive/i-2" is "serving"

  # Guards against a heartbeat of another writer that names a service without routes and
  # the address of a sound server, which got no requests for as long as it was sent.
  Scenario: An announcement for a service without routes takes over no address
    Given a table that routes requests to "contracts"
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 9 of "odd/i-1" announces itself with sequence 1 as "serving"
    Then the target "contracts/i-1" is "serving"
    And the target "odd/i-1" is "gone"
    When process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    And 2 seconds pass without an announcement
    Then the target "contracts/i-1" is "serving"

  # Guards against an entry that keeps a sound server out until the drain limit has
  # passed as well, although nobody renews it.
  Scenario: A server gets its address back once the other entry has lapsed
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 9 of "archive/i-2" announces itself with sequence 1 as "serving"
    And 4 seconds pass without an announcement
    And process 5 of "contracts/i-1" announces itself with sequence 6 as "serving"
    Then the target "contracts/i-1" is "serving"
    And the target "archive/i-2" is "gone"

  Scenario: A server that left keeps its address from an earlier process
    When process 9 of "archive/i-2" announces itself with sequence 1 as "serving"
    And process 9 of "archive/i-2" announces itself with sequence 2 as "leaving"
    And 4 seconds pass without an announcement
    And process 5 of "contracts/i-1" announces itself with sequence 6 as "serving"
    Then the target "contracts/i-1" is "gone"

  # Guards against a leave that is acknowledged and not recorded, since another entry
  # stands at the address of the server.
  Scenario: The leave of a server whose address was taken over is recorded
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 9 of "archive/i-2" announces itself with sequence 1 as "serving"
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "leaving"
    Then the departure of process 5 of "contracts/i-1" is to be recorded
    And instance "i-1" gets its acknowledgement once that is done
    And the target "archive/i-2" is "serving"

  Scenario: A server is offered as soon as its service gets a route
    Given a table that routes requests to "contracts"
    When process 5 of "archive/i-2" announces itself with sequence 1 as "serving"
    Then the target "archive/i-2" is "gone"
    When a table routes requests to "archive"
    Then the target "archive/i-2" is "serving"

  Scenario: A server that leaves before its service gets a route is not offered
    Given a table that routes requests to "contracts"
    When process 5 of "archive/i-2" announces itself with sequence 1 as "serving"
    And instance "i-2" of "archive" withdraws at 9
    And a table routes requests to "archive"
    Then the target "archive/i-2" is "gone"

  Scenario: An address that was taken over before the first table is given back
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 9 of "odd/i-1" announces itself with sequence 1 as "serving"
    And a table routes requests to "contracts"
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "serving"

  Scenario: A withdrawal by instance id removes the target of that instance
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And instance "i-1" of "contracts" withdraws at 9
    Then the target "contracts/i-1" is "leaving"

  Scenario: A daemon that restarted after a withdrawal ignores a late announcement
    When instance "i-1" of "contracts" withdraws at 9
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "gone"

  Scenario: A process that started after the withdrawal is accepted
    When instance "i-1" of "contracts" withdraws at 9
    And process 12 of "contracts/i-1" announces itself with sequence 1 as "serving"
    Then the target "contracts/i-1" is "serving"

  Scenario: A clock that was set back excludes a new process only briefly
    When instance "i-1" of "contracts" withdraws at 9
    And 11 seconds pass without an announcement
    And process 8 of "contracts/i-1" announces itself with sequence 1 as "serving"
    Then the target "contracts/i-1" is "serving"

  # Guards against announcements of another writer, which has left the start time out.
  Scenario Outline: An announcement without a start time doesn't concern a process that has one
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And process 0 of "<target>" announces itself with sequence 9 as "<state>"
    Then the target "contracts/i-1" is "serving"
    And the target "archive/i-1" is "gone"

    Examples:
      | target        | state   |
      | contracts/i-1 | leaving |
      | archive/i-1   | serving |

  Scenario: An announcement without a start time doesn't bring back a process that has left
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And its backend server withdraws
    And process 0 of "contracts/i-1" announces itself with sequence 9 as "serving"
    Then the target "contracts/i-1" is "leaving"

  # Guards against a departure that is acknowledged but not carried out, because the
  # daemon has dropped what it knows of a server that it offers.
  Scenario Outline: Many announcements of others don't make a daemon forget a server
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And 70 others announce themselves as "<others>"
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "serving"
    When process 5 of "contracts/i-1" announces itself with sequence 5 as "leaving"
    Then the target "contracts/i-1" is "leaving"
    When process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "leaving"
    And the daemon knows at most 64 servers

    Examples:
      | others  |
      | serving |
      | leaving |

  Scenario: A departure is remembered beside many announcements of others
    When process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    And its backend server withdraws
    And 70 others announce themselves as "serving"
    And process 5 of "contracts/i-1" announces itself with sequence 4 as "serving"
    Then the target "contracts/i-1" is "leaving"

  Scenario: There is room again for a server when the announcements of others have ended
    When 70 others announce themselves as "serving"
    And 34 seconds pass without an announcement
    And process 5 of "contracts/i-1" announces itself with sequence 3 as "serving"
    Then the target "contracts/i-1" is "serving"
