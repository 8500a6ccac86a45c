Feature: The control channel drops rather than blocks
  Scenario: A message crosses the channel with its sender
    Given two control channels on loopback
    When the first one sends a ping to the second one
    Then the second one delivers the ping with the name of the first

  Scenario: A peer that isn't there costs nothing but the message
    Given two control channels on loopback
    When the first one sends 500 pings to a peer that is not there
    Then at most 16 pings wait and the others were dropped
    When the first one sends a ping to the second one
    Then the second one delivers the ping with the name of the first

  Scenario: A message kept for a dead peer is not delivered to its successor
    Given two control channels on loopback
    When the second one closes
    And the first one sends a ping to the second one
    And the ping is dropped at its time limit
    And a successor starts at the address of the second one
    And the first one sends a ping with sequence 99
    Then the successor delivers only the ping with sequence 99

  Scenario: Malformed input is logged once and dropped
    Given two control channels on loopback
    When 5 malformed messages are sent to the second one
    And the first one sends a ping to the second one
    Then the second one delivers the ping with the name of the first
    And the second one logged 1 malformed message of 5

  Scenario: The in-memory twin loses, doubles and reorders as told
    Given two in-memory channels with a cut from "a" to "b"
    When each in-memory channel sends 20 pings to the other
    Then "a" received 20 pings and "b" received 0
    When the in-memory network doubles and delays all messages
    And each in-memory channel sends 20 pings to the other
    Then "a" received 40 pings, not in the order of sending
