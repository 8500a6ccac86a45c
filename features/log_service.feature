Feature: The log service's client reports whether an append may have taken effect
  Scenario Outline: Records are read in order, in memory and over HTTP
    Given a log service <where>
    When "a", "b" and "c" are appended to the stream "x"
    Then the stream "x" holds "a", "b" and "c" at the offsets 0, 1 and 2
    And the stream "y" is empty from offset 0 on

    Examples:
      | where     |
      | in memory |
      | over HTTP |

  Scenario Outline: Each failure of an append raises the matching error
    Given a log service <where>
    When the log service has the fault <fault>
    Then an append raises <error> and leaves <count> records

    Examples:
      | where     | fault                  | error               | count |
      | in memory | away=true              | LogUnavailableError | 0     |
      | in memory | silent=true            | AppendUnknownError  | 0     |
      | in memory | lost_acknowledgments=1 | AppendUnknownError  | 1     |
      | over HTTP | away=true              | LogUnavailableError | 0     |
      | over HTTP | silent=true            | AppendUnknownError  | 0     |
      | over HTTP | lost_acknowledgments=1 | AppendUnknownError  | 1     |

  Scenario: A service that stalls after a lost acknowledgment still shows its record
    Given a log service over HTTP
    When the log service has the fault lost_acknowledgments=1
    And the log service stalls for 1500 ms before it is read
    Then an append raises AppendUnknownError and leaves 1 records

  Scenario: An append to a closed port had no effect
    Given a log service over HTTP
    When the log service stops
    Then an append raises LogUnavailableError

  Scenario: Appends above the rate limit are refused without effect
    Given a log service over HTTP
    When the log service has the fault appends_per_s=2
    And "a", "b" and "c" are appended to the stream "x"
    Then the stream "x" has 2 records and 1 append was refused

  Scenario Outline: Expired records are reported with the oldest offset
    Given a log service <where>
    When the log service has the fault retention_records=2
    And "a", "b" and "c" are appended to the stream "x"
    Then reading the stream "x" from offset 0 reports 1 as oldest

    Examples:
      | where     |
      | in memory |
      | over HTTP |

  Scenario: Records expire by age
    Given a log service in memory
    When the log service has the fault retention_s=10
    And "a", "b" and "c" are appended to the stream "x"
    And 11 seconds pass at the log service
    Then reading the stream "x" from offset 0 reports 3 as oldest

  Scenario: A request to set an unknown fault is refused
    Given a log service over HTTP
    Then setting the fault "awya" is refused with status 400
