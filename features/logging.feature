Feature: Log lines are bounded and never wait for their reader

  Scenario: Failures are all written, of what goes well a sample
    Given a log with room for all its lines
    When 50 routine lines and 30 failures are logged within a second
    Then 10 routine lines and 30 failures are written
    And 40 lines are said to be left out

  Scenario: A reader that has stopped holds up nothing
    Given a log whose reader has stopped
    When 5000 failures are logged
    Then that took no more than 2 s of processor time
    When the reader goes on and one more line is logged
    Then all lines that are missing were counted
