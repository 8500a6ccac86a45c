Feature: A daemon avoids its own bad paths to gates

  Background:
    Given a daemon that watches its paths

  Scenario Outline: Only what speaks against the path makes it avoided
    When an attempt ends with blame "<blame>"
    Then the path is "<state>"

    Examples:
      | blame          | state   |
      | path           | avoided |
      | backend-server | used    |
      | overload       | used    |
      | none           | used    |

  Scenario: A path is tried again after a second, then less often
    When an attempt ends with blame "path"
    And 1100 ms pass on the path
    Then the path is "used"
    When an attempt ends with blame "path"
    And 1100 ms pass on the path
    Then the path is "avoided"

  Scenario: A gate that can't be asked about a request is avoided
    When its gate can't be reached to ask about a request
    Then the path is "avoided"

  Scenario: An answer ends the avoidance
    When an attempt ends with blame "path"
    And an attempt ends with blame "none"
    Then the path is "used"
