Feature: A daemon avoids failing network paths to gates

  Background:
    Given a daemon that watches its paths

  Scenario Outline: Only failures blamed on the path make it avoided
    When an attempt ends with blame "<blame>"
    Then the path is "<state>"

    Examples:
      | blame          | state   |
      | path           | avoided |
      | backend-server | used    |
      | overload       | used    |
      | none           | used    |

  Scenario: A path is retried after a second, and later after each further failure
    When an attempt ends with blame "path"
    And 1100 ms pass on the path
    Then the path is "used"
    When an attempt ends with blame "path"
    And 1100 ms pass on the path
    Then the path is "avoided"

  Scenario: A gate that can't be reached for the state of a request is avoided
    When its gate can't be reached for the state of a request
    Then the path is "avoided"

  Scenario: A successful attempt ends the avoidance
    When an attempt ends with blame "path"
    And an attempt ends with blame "none"
    Then the path is "used"

  Scenario: A slow copy that lost raises the typical latency, but does not blame the path
    When an attempt ends with blame "none"
    And a copy that waited for 1200 ms loses
    Then the path is "used"
    And its typical latency is 300 ms
