Feature: Targets travel to the daemons that serve or want their service
  Background:
    Given a bus of 12 daemons that serve "contracts", all from seed 11
    And 4 more daemons on the bus that serve "archive" and want nothing

  Scenario: Targets travel only where their service is of interest
    When 20 seconds pass on the bus
    Then daemon d00 uses 12 targets of "contracts"
    And daemon d00 uses 0 targets of "archive"
    And daemon d12 uses 0 targets of "contracts"
    And no target of "contracts" was ever sent to d12

  Scenario: A daemon that wants a service for the first time pulls its targets
    When 20 seconds pass on the bus
    And daemon d12 begins to want "contracts"
    And 2 seconds pass on the bus
    Then daemon d12 uses 12 targets of "contracts"

  Scenario Outline: Leaving reaches everybody in time whichever way is cut
    When 20 seconds pass on the bus
    And messages from <senders> to <receivers> are cut
    And 3 seconds pass on the bus
    And the backend server beside d03 leaves
    And 2 seconds pass on the bus
    Then no daemon of the bus sends new work to the target beside d03

    Examples:
      | senders         | receivers           |
      | nobody          | nobody              |
      | d03             | d00,d01,d02         |
      | d00,d01,d02     | d03                 |
      | d03             | everybody           |
      | everybody       | d03                 |
      | d04,d05,d06,d03 | d07,d08,d09,d10,d11 |

  Scenario: A daemon that ends without a word lapses everywhere
    When 20 seconds pass on the bus
    And daemon d03 ends without a word
    And 2 seconds pass on the bus
    Then no daemon of the bus sends new work to the target beside d03

  Scenario: A lost path to one daemon leaves its targets in use
    When 20 seconds pass on the bus
    And messages from d03 to d00,d01,d02 are cut
    And 20 seconds pass on the bus
    Then daemon d00 uses 12 targets of "contracts"
    And no lease has lapsed at d00 since the cut

  Scenario: A delayed update does not bring back a target that left
    When 20 seconds pass on the bus
    And the update of d03 is kept back
    And the backend server beside d03 leaves
    And 2 seconds pass on the bus
    And the update that was kept back reaches d00
    Then no daemon of the bus sends new work to the target beside d03
    When daemon d03 ends without a word
    And 40 seconds pass on the bus
    And the update that was kept back reaches d00
    Then no daemon of the bus sends new work to the target beside d03

  Scenario: Values out of range from a peer change nothing
    When 20 seconds pass on the bus
    And daemon d00 hears ages and states that can't be
    And 5 seconds pass on the bus
    Then daemon d00 uses 12 targets of "contracts"
    And every running daemon knows 16 alive daemons

  Scenario: Losses, duplicates and delays lapse no healthy target
    Given 5 percent of the messages on the bus get lost and 5 percent twice
    When 20 seconds pass on the bus
    And 30 seconds pass on the bus after the start is over
    Then no lease has lapsed anywhere since the start was over

  Scenario Outline: The checks above catch a planted fault
    Given the fault "<fault>" is planted in every daemon
    When 20 seconds pass on the bus
    And messages from d03 to everybody are cut
    And the backend server beside d03 leaves
    And 2 seconds pass on the bus
    Then a daemon of the bus still sends new work to the target beside d03

    Examples:
      | fault             |
      | leases never end  |
      | ages are not kept |
