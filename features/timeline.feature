Feature: A timeline of the events of all daemons
  Scenario: Causes come before effects even if the wall clocks differ
    Given a daemon "a" whose wall clock is 60 seconds ahead
    And a daemon "b" whose wall clock is right
    When daemon "a" records "ejected" and its message reaches daemon "b"
    And daemon "b" records "told"
    Then the merged timeline is "ejected, told"

  Scenario: A daemon keeps a bounded number of events, the newest
    Given a daemon "a" that keeps 3 events
    When daemon "a" records 5 events
    Then its events have the sequence numbers "3, 4, 5"

  Scenario: A daemon that can't be reached is reported
    Given a daemon "a" that keeps 3 events
    When the timeline is gathered from "a:1" and from "gone:1", which does not answer
    Then the text and the trace both report "gone:1" as unreachable
    And the trace is valid JSON with a process named "a"
