Feature: Backend servers announce themselves to the daemon beside them
  Scenario: An announcement lapses by the local clock if it is not renewed
    Given a controller of announcements
    When its backend server "contracts/127.0.0.1:8000" announces itself
    Then the local target is "serving"
    When 2 seconds pass without an announcement
    Then the local target is "serving"
    When 2 seconds pass without an announcement
    Then the local target is "leaving"

  Scenario: A backend server leaves, drains and is gone
    Given a controller of announcements
    When its backend server "contracts/127.0.0.1:8000" announces itself
    And its backend server withdraws
    Then the local target is "leaving"
    When 40 seconds pass without an announcement
    Then the local target is "gone"

  Scenario: A restarted backend server gets a higher incarnation
    Given a controller of announcements
    When its backend server "contracts/127.0.0.1:8000" announces itself
    And its backend server "contracts/127.0.0.1:8000" announces itself
    Then its incarnation rose 0 times
    When its backend server withdraws
    And its backend server "contracts/127.0.0.1:8000" announces itself
    Then the local target is "serving"
    And its incarnation rose 1 times

  Scenario: A draining daemon marks its targets as leaving
    Given a controller of announcements
    When its backend server "contracts/127.0.0.1:8000" announces itself
    And the daemon drains
    Then the local target is "leaving"
    When 1 seconds pass without an announcement
    And its backend server "contracts/127.0.0.1:8000" announces itself
    Then the local target is "leaving"
    And its incarnation rose 0 times
    When 30 seconds pass without an announcement
    Then the local target is "gone"

  Scenario: Announcements over loopback HTTP
    Given an announcement route of a daemon at 127.0.0.1
    When "PUT" "/v1/targets/contracts" is sent with {"address": "127.0.0.1:8000"}
    Then the answer has status 200 and 1 announcements were accepted
    When "DELETE" "/v1/targets/contracts?address=127.0.0.1:8000" is sent with nothing
    Then the answer has status 200 and 1 withdrawals were accepted

  Scenario Outline: A wrong announcement is refused and logged once
    Given an announcement route of a daemon at 127.0.0.1
    When "PUT" "/v1/targets/<service>" is sent with <body>
    And "PUT" "/v1/targets/<service>" is sent with <body>
    Then the answer has status <status> and 0 announcements were accepted
    And the answer is a problem that names "<name>"
    And it was logged 1 times

    Examples:
      | service   | body                                      | status | name    |
      | contracts | {"address": "10.9.8.7:8000"}              | 403    | address |
      | contracts | {"address": "127.0.0.1:99999"}            | 400    | address |
      | contracts | {"address": "127.0.0.1"}                  | 400    | address |
      | contracts | {"address": "127.0.0.1:80", "slots": 0}   | 400    | slots   |
      | contracts | {"address": "127.0.0.1:80", "slots": "4"} | 400    | slots   |
      | contracts | {"address": "127.0.0.1:80", "port": 1}    | 400    | port    |
      | contracts | {"slots": 4}                              | 400    | address |
      | contracts | not json                                  | 400    | JSON    |
      | a%20b     | {"address": "127.0.0.1:80"}               | 400    | service |
