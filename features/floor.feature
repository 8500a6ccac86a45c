Feature: The arithmetic of the floor
  Scenario: Whatever is avoided, the floor holds
    When targets are chosen to be avoided in 300 random services
    Then no choice leaves less than the floor, unless there was less before

  Scenario: No more targets are kept than the floor needs
    When targets are chosen to be avoided in 300 random services
    Then each target that was kept would have broken the floor

  Scenario: What comes back for the floor is a prefix and is enough
    When ejected targets are returned in 300 random services
    Then each return is the shortest prefix that restores the floor

  Scenario: Daemons with different views together avoid no more than one of them
    When two daemons with different views return targets in 300 random services
    Then the union of what stays out is what one of them leaves out

  Scenario Outline: The checker catches a planted fault
    Given a floor arithmetic that <fault>
    When targets are chosen to be avoided in 300 random services
    Then the check of the floor fails

    Examples:
      | fault                       |
      | counts heads                |
      | forgets what it removed     |
