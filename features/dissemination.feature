Feature: Targets are sent to the daemons that serve or request their service
  Background:
    Given a bus of 12 daemons that serve "contracts", with random seed 11
    And 4 more daemons on the bus that serve "archive" and request no service

  Scenario: Targets are sent only to daemons that serve or request their service
    When 20 seconds pass on the bus
    Then daemon d00 uses 12 targets of "contracts"
    And daemon d00 uses 0 targets of "archive"
    And daemon d12 uses 0 targets of "contracts"
    And no target of "contracts" was ever sent to d12

  Scenario: A daemon that requests a service for the first time fetches its targets
    When 20 seconds pass on the bus
    And daemon d12 starts to request "contracts"
    And 2 seconds pass on the bus
    Then daemon d12 uses 12 targets of "contracts"

  Scenario Outline: All daemons learn in time that a target leaves, whichever messages are dropped
    When 20 seconds pass on the bus
    And messages from <senders> to <receivers> are dropped
    And 3 seconds pass on the bus
    And the backend server beside d03 leaves
    And 2 seconds pass on the bus
    Then no daemon of the bus sends new requests to the target beside d03

    Examples:
      | senders         | receivers           |
      | nobody          | nobody              |
      | d03             | d00,d01,d02         |
      | d00,d01,d02     | d03                 |
      | d03             | everybody           |
      | everybody       | d03                 |
      | d04,d05,d06,d03 | d07,d08,d09,d10,d11 |

  Scenario: The targets of a daemon that stops without notice lapse at all daemons
    When 20 seconds pass on the bus
    And daemon d03 stops without notice
    And 2 seconds pass on the bus
    Then no daemon of the bus sends new requests to the target beside d03

  Scenario: The targets of a daemon that can't reach three others stay in use
    When 20 seconds pass on the bus
    And messages from d03 to d00,d01,d02 are dropped
    And 20 seconds pass on the bus
    Then daemon d00 uses 12 targets of "contracts"
    And no lease has lapsed at d00 since messages are dropped

  Scenario: A delayed update does not restore a target that left
    When 20 seconds pass on the bus
    And the last update of d03 is delayed
    And the backend server beside d03 leaves
    And 2 seconds pass on the bus
    And the delayed update reaches d00
    Then no daemon of the bus sends new requests to the target beside d03
    When daemon d03 stops without notice
    And 40 seconds pass on the bus
    And the delayed update reaches d00
    Then no daemon of the bus sends new requests to the target beside d03

  Scenario: Values out of range from a peer change nothing
    When 20 seconds pass on the bus
    And daemon d00 receives ages and states out of range
    And 5 seconds pass on the bus
    Then daemon d00 uses 12 targets of "contracts"
    And every running daemon knows 16 alive daemons

  Scenario: In a large fleet standings travel with heartbeats and cost no message
    Given 50 more daemons on the bus that serve "contracts" and request no service
    When 30 seconds pass on the bus
    And the backend servers beside d03,d05,d17 become "doubted"
    And 3 seconds pass on the bus
    Then all daemons consider the servers beside d03,d05,d17 "doubted"
    And 0 updates of targets were sent since
    When the backend servers beside d03,d17 become "good"
    And 3 seconds pass on the bus
    Then all daemons consider the servers beside d03,d17 "good"
    And all daemons consider the servers beside d05 "doubted"

  Scenario: In a small fleet a changed standing is known everywhere at once
    When 20 seconds pass on the bus
    And the backend servers beside d03 become "doubted"
    And 1 seconds pass on the bus
    Then all daemons consider the servers beside d03 "doubted"

  Scenario: That a doubted server fails again concerns its own gate only
    When 20 seconds pass on the bus
    And the backend servers beside d03 become "doubted"
    And 1 seconds pass on the bus
    And the backend servers beside d03 become "failing"
    And 1 seconds pass on the bus
    Then all other daemons consider the servers beside d03 "doubted"
    And 0 updates of targets were sent since

  Scenario: Lost, duplicated and delayed messages let no healthy target lapse
    Given 5 percent of the messages on the bus are lost and 5 percent duplicated
    When 20 seconds pass on the bus
    And 30 seconds pass on the bus after the start-up phase
    Then no lease has lapsed anywhere since the start-up phase

  Scenario Outline: The checks above detect a planted fault
    Given the fault "<fault>" is planted in every daemon
    When 20 seconds pass on the bus
    And messages from d03 to everybody are dropped
    And the backend server beside d03 leaves
    And 2 seconds pass on the bus
    Then a daemon of the bus still sends new requests to the target beside d03

    Examples:
      | fault             |
      | leases never end  |
      | ages are not kept |

  Scenario Outline: The messages of a daemon do not grow with the fleet
    Given <more> more daemons on the bus that serve "contracts" and request no service
    When 25 seconds pass on the bus
    And the messages of 10 seconds are counted
    Then a daemon sent at most <limit> messages a second on average
    And it sent to at most 30 others in that time on average
    And no lease has lapsed anywhere since the start-up phase

    Examples:
      | more | limit |
      | 80   | 14    |
      | 150  | 14    |

  Scenario: Daemons of a large fleet that start together know each other within seconds
    Given 80 more daemons on the bus that serve "contracts" and request no service
    And each daemon on the bus lists those that started before it
    When 5 seconds pass on the bus
    Then every running daemon knows 96 alive daemons
    And daemon d07 uses 92 targets of "contracts"
    And a daemon sent at most 250 messages on average
