Feature: A fleet that starts at once with no right seed
  Scenario: The log of members brings all daemons together with few records
    Given a bus of 120 daemons whose only seed does not answer
    When 30 seconds pass on the bus
    Then every running daemon knows 120 alive daemons
    And the log of the bus holds at most 40 records of members
