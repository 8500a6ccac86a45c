Feature: Planned shutdowns interrupt no request
  Scenario: A backend server leaves
    Given a backend server behind its gate, and an entry
    When the backend server leaves under load with a long upload running
    Then the complete upload arrived before the end of the drain
    And every request was answered completely and run once, or reported as not run and not run
    And no new work reached the backend server more than 2000 ms after it began to leave

  Scenario: A daemon drains
    Given a backend server behind its gate, and an entry
    When the daemon of the gate drains under load with a long upload running
    Then the complete upload arrived before the end of the drain
    And every request was answered completely and run once, or reported as not run and not run

  Scenario: A daemon with an unused ticket stops within its time
    When a daemon that has issued a ticket is told to exit while a request hangs
    Then it has ended 4000 ms after that, with the request cut

  Scenario: A daemon with an unused ticket and no request ends without a cut
    When a daemon that has issued a ticket is told to exit
    Then it has ended 4000 ms after that, with no request cut
