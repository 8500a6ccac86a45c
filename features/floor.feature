Feature: The computations of the floor
  Scenario: Avoided targets never leave less than the floor
    When targets are chosen to be avoided in 300 random services
    Then no choice leaves less than the floor, unless there was less before

  Scenario: No more targets are kept in service than the floor requires
    When targets are chosen to be avoided in 300 random services
    Then each target that was kept would have violated the floor

  Scenario: The targets returned for the floor are the shortest prefix that restores it
    When ejected targets are returned in 300 random services
    Then each return is the shortest prefix that restores the floor

  Scenario: Daemons with different views together avoid no more than one of them alone
    When two daemons with different views return targets in 300 random services
    Then the union of the targets that stay ejected equals the set of one of them

  Scenario Outline: The check detects a planted fault
    Given a floor computation that <fault>
    When targets are chosen to be avoided in 300 random services
    Then the check of the floor fails

    Examples:
      | fault                       |
      | counts heads                |
      | forgets what it removed     |
