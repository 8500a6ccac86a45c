Feature: What a daemon leaves out is bounded for all reasons together

  Background:
    Given a daemon that routes to servers "i-1, i-2, i-3, i-4"

  # Guards against a server that one mechanism after another leaves out.
  Scenario Outline: A server that is left out for one reason after another gets a request
    When "i-1" is <reasons> in turn, 1500 ms each, for 20 s, with <rate> <requests> requests a second
    Then "i-1" gets its next request 6000 to 7600 ms after each one
    And no more than 5 % of the requests go to "i-1"

    Examples:
      | reasons          | rate | requests              |
      | avoided, doubted | 40   | unrepeatable          |
      | avoided, failing | 40   | unrepeatable          |
      | doubted, failing | 40   | unrepeatable unserved |
      | avoided          | 40   | unrepeatable          |
      | avoided, doubted | 4    | unrepeatable          |
      | failing          | 40   | repeatable            |

  # Guards against requests that fail at a server in doubt though nobody needs it.
  Scenario: A failing server gets no request that can't be repeated while all are served
    When "i-1" is failing in turn, 1500 ms each, for 20 s, with 40 unrepeatable requests a second
    Then "i-1" gets no request

  Scenario: All that are left out together get their requests one after the other
    When "i-1, i-2, i-3" are avoided, doubted in turn, 1500 ms each, for 20 s, with 40 unrepeatable requests a second
    Then "i-1" gets its next request 6000 to 7600 ms after each one
    And "i-2" gets its next request 6000 to 7600 ms after each one
    And "i-3" gets its next request 6000 to 7600 ms after each one
