Feature: An attempt that takes too long is replaced, where that does no harm

  Scenario Outline: How long an attempt may take
    Then a "<safety>" request with an aim of <aim> ms and <left> ms left, where <usual> ms are usual, is replaced after <patience>

    Examples:
      | safety         | aim | left | usual | patience |
      | idempotent     | 800 | 4000 | 100   | 480 ms   |
      | idempotent     | 800 | 4000 | 270   | 810 ms   |
      | idempotent     | 800 | 700  | 270   | never    |
      | non-idempotent | 800 | 4000 | 100   | never    |
      | idempotent     | 0   | 4000 | 100   | never    |
