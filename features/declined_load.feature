Feature: Waiting for a retry serves more requests where servers decline

  # Guards against the former rule, under which a request that had seconds left was
  # refused because no retry was available at that moment, or because two declined
  # arrivals counted as two executions. Above the capacity the slots are the limit, and
  # with few servers declining no difference is expected.
  Scenario Outline: Servers decline a part of their requests while others wait
    Given <decliners> of 3 servers decline 55 % of their requests for 8.5 s
    When callers offer <load> of the capacity in <runs> runs
    Then <gain> points more of the requests are served than with the former rule
    And at most <loss> points fewer are served within the latency objective
    And each request has at most 1.2 arrivals on average
    And in any 10 s there are at most 0.2 retries for each request and the slack more

    Examples:
      | decliners | load | runs | gain | loss |
      | 1         | 0.5  | 3    | 4    | 1    |
      | 1         | 0.95 | 3    | 6    | 0    |
      | 1         | 1.2  | 1    | -1   | 1    |
      | 1         | 2    | 1    | -1   | 1    |
      | 1         | 3    | 1    | -1   | 1    |
      | 3         | 0.5  | 3    | 12   | 0    |
      | 3         | 0.95 | 3    | 4    | 0    |
      | 3         | 1.2  | 1    | 2    | 3    |
      | 3         | 2    | 1    | 2    | 1    |
      | 3         | 3    | 1    | 1    | 1    |
