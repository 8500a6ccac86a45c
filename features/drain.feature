Feature: Planned shutdowns interrupt no request
  Scenario: A backend server leaves
    Given a backend server behind its gate, and an entry
    When the backend server leaves under load with a long upload running
    Then the upload arrived whole before the end of the drain
    And every request was answered whole, once, or truly not run
    And no new work reached the backend server more than 2000 ms after that

  Scenario: A daemon drains
    Given a backend server behind its gate, and an entry
    When the daemon of the gate drains under load with a long upload running
    Then the upload arrived whole before the end of the drain
    And every request was answered whole, once, or truly not run
