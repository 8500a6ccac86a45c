Feature: An attempt that times out is replaced if the request is idempotent

  Scenario Outline: The attempt timeout depends on aim, time left and typical latency
    Then a "<safety>" request with an aim of <aim> ms and <left> ms left, whose typical latency is <usual> ms, is replaced after <patience>

    Examples:
      | safety         | aim | left | usual | patience |
      | idempotent     | 800 | 4000 | 100   | 480 ms   |
      | idempotent     | 800 | 4000 | 270   | 810 ms   |
      | idempotent     | 800 | 700  | 270   | never    |
      | non-idempotent | 800 | 4000 | 100   | never    |
      | idempotent     | 0   | 4000 | 100   | never    |
