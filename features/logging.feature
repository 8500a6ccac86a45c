Feature: Log output is bounded and never waits for its reader

  Scenario: All failures are written, but only a sample of routine lines
    Given a log with a buffer for all its lines
    When 50 routine lines and 30 failures are logged within a second
    Then 10 routine lines and 30 failures are written
    And 40 lines are reported as omitted

  Scenario: A stopped reader does not block the daemon
    Given a log whose reader has stopped
    When 5000 failures are logged
    Then logging took no more than 2 s of processor time
    When the reader resumes and one more line is logged
    Then all missing lines were counted
