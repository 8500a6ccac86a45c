Feature: The control channel drops messages rather than blocking
  Scenario: A message is delivered with the name of its sender
    Given two control channels on loopback
    When the first one sends a ping to the second one
    Then the second one delivers the ping with the name of the first

  Scenario: Messages to an absent peer are dropped without affecting other peers
    Given two control channels on loopback
    When the first one sends 500 pings to an absent peer
    Then at most 16 pings are queued and the others were dropped
    When the first one sends a ping to the second one
    Then the second one delivers the ping with the name of the first

  Scenario: A message queued for a dead peer is not delivered to its successor
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

  Scenario: The in-memory channel loses, duplicates and reorders as configured
    Given two in-memory channels with a partition from "a" to "b"
    When each in-memory channel sends 20 pings to the other
    Then "a" received 20 pings and "b" received 0
    When the in-memory network duplicates and delays all messages
    And each in-memory channel sends 20 pings to the other
    Then "a" received 40 pings, not in the order of sending

  Scenario: Urgent messages are sent before others queued for the same connection
    Given two control channels on loopback
    When the second one closes
    And the first one sends pings 1, 2 and an urgent ping 3
    And a successor starts at the address of the second one
    Then the second one delivers pings 3, 1 and 2 in this order

  Scenario: A connection that reached its maximum age is replaced without loss
    Given two control channels on loopback
    When the first one sends a ping to the second one
    And the connection of the first one reaches its maximum age and is closed
    And the first one sends a ping with sequence 99
    Then the second one delivers pings 1 and 99, over 2 connections
