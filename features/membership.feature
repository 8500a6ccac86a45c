Feature: Daemons find each other and tell dead daemons from cut paths
  Background:
    Given a bus of 12 daemons that serve "contracts", with random seed 7

  Scenario: Daemons find each other through two seeds
    When 15 seconds pass on the bus
    Then every running daemon knows 12 alive daemons

  Scenario Outline: A path that is cut one way removes no healthy daemon
    When 15 seconds pass on the bus
    And messages from <senders> to <receivers> are dropped
    And 30 seconds pass on the bus
    Then no daemon was ever declared dead
    And every running daemon knows 12 alive daemons

    Examples:
      | senders         | receivers       |
      | d00             | d01             |
      | d01             | d00             |
      | d00,d01,d02     | d03,d04,d05     |
      | d03,d04,d05,d06 | d00             |
      | d00             | d03,d04,d05,d06 |

  Scenario: A daemon that hears nothing suspects nobody
    When 15 seconds pass on the bus
    And messages from everybody to d05 are dropped
    And 30 seconds pass on the bus
    Then daemon d05 has declared no daemon dead

  Scenario: A daemon that ended is removed everywhere
    When 15 seconds pass on the bus
    And daemon d07 stops without notice
    And 20 seconds pass on the bus
    Then every running daemon considers d07 "dead"

  Scenario: A daemon that can send to nobody is removed, and comes back
    When 15 seconds pass on the bus
    And messages from d04 to everybody are dropped
    And 20 seconds pass on the bus
    Then every daemon except d04 considers d04 "dead"
    When all messages are delivered again
    And 40 seconds pass on the bus
    Then every running daemon knows 12 alive daemons

  Scenario: A suspicion is refuted with a higher incarnation
    When 15 seconds pass on the bus
    And daemon d02 receives a message that d03 is suspect
    And 10 seconds pass on the bus
    Then every running daemon knows 12 alive daemons
    And the incarnation of d03 has risen

  Scenario: Seeds replaced while the log is away
    When 15 seconds pass on the bus
    And the log of the bus becomes unavailable
    And daemon d00 stops without notice
    And daemon d01 stops without notice
    And 300 seconds pass on the bus
    And daemon d20 starts on the bus with the only seed d05
    And 30 seconds pass on the bus
    Then every running daemon knows 11 alive daemons

  Scenario: All seeds are gone and the log names the others
    When 40 seconds pass on the bus
    And daemon d00 stops without notice
    And daemon d01 stops without notice
    And daemon d21 starts on the bus with the only seed d00
    And 60 seconds pass on the bus
    Then every running daemon knows 11 alive daemons
    And the log of the bus holds at most 16 records of members

  Scenario: A restarted daemon whose wall clock went back is alive again
    When 15 seconds pass on the bus
    And daemon d06 stops without notice
    And daemon d06 starts again with a wall clock 90 seconds behind
    And 40 seconds pass on the bus
    Then every running daemon knows 12 alive daemons
    And daemon d01 uses 12 targets of "contracts"

  Scenario: Two halves that lost each other find together again
    When 15 seconds pass on the bus
    And the bus is partitioned between d05 and d06
    And 60 seconds pass on the bus
    Then daemon d00 knows 6 alive daemons
    When all messages are delivered again
    And 60 seconds pass on the bus
    Then every running daemon knows 12 alive daemons

  Scenario: Stale news does not bring a forgotten daemon back
    When 15 seconds pass on the bus
    And daemon d07 stops without notice
    And 160 seconds pass on the bus
    Then no running daemon has an entry of d07
    When daemon d02 receives the old entry of d07
    And 5 seconds pass on the bus
    Then no running daemon has an entry of d07

  Scenario: Pages of the member table and updates stay small
    When 60 seconds pass on the bus
    Then no message on the bus was larger than 8000 bytes

  Scenario: A check above catches daemons that neither ask others nor refute
    Given the fault "nobody asks others and nobody refutes" is planted in every daemon
    When 15 seconds pass on the bus
    And messages from d00 to d01 are dropped
    And 30 seconds pass on the bus
    Then a healthy daemon was declared dead

  Scenario: A check above catches news that brings a forgotten daemon back
    Given the fault "forgotten daemons leave no trace" is planted in every daemon
    When 15 seconds pass on the bus
    And daemon d07 stops without notice
    And 160 seconds pass on the bus
    And daemon d02 receives the old entry of d07
    And 5 seconds pass on the bus
    Then a running daemon has an entry of d07
