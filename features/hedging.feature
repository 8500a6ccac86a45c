Feature: Slow requests are hedged within a limit

  Scenario Outline: A request is hedged once it is slower than usual
    Given a hedging policy with a limit of <limit> and a route that takes 1 to 100 ms
    Then a "<safety>" request is hedged after <delay>

    Examples: a limit below 5 % can't cover all requests beyond the 95th percentile
      | limit | safety         | delay  |
      | 0.05  | idempotent     | 95 ms  |
      | 0.02  | idempotent     | 190 ms |
      | 0     | idempotent     | never  |
      | 0.05  | non-idempotent | never  |

  Scenario: Without enough samples of a route no request is hedged
    Given a hedging policy with a limit of 0.05 and a route that took 24 samples
    Then a "idempotent" request is hedged after never

  Scenario: Latencies of the distant past are forgotten
    Given a hedging policy with a limit of 0.05 and a route that takes 1 to 100 ms
    When 16 s pass and the route takes 2 ms for 16 s
    Then a "idempotent" request is hedged after 2 ms

  Scenario: The number of routes with latencies is bounded
    Given a hedging policy with a limit of 0.05 and a route that takes 1 to 100 ms
    When 1000 further routes are requested
    Then latencies of at most 128 routes are kept

  Scenario Outline: A hedge does not add load to a service that is slow in general
    Given a hedging policy with a limit of 0.05 and a route that takes 1 to 100 ms
    When the last <count> requests of the service take <latency> ms
    Then a hedge is denied as "<reason>"

    Examples: the median is 50 ms
      | count | latency | reason       |
      | 15    | 140     | service-slow |
      | 15    | 90      | nothing      |
      | 3     | 140     | nothing      |

  Scenario: A hedge that could not answer in time is not sent
    Given a hedging policy with a limit of 0.05 and a route that takes 1 to 100 ms
    Then a hedge with 94 ms left is denied as "no-time"
    And a hedge with 95 ms left is denied as "nothing"

  Scenario: A route change does not make the service look slow
    Given a hedging policy with a limit of 0.05 and a route that takes 1 to 100 ms
    When a further route of the service that takes 900 ms is requested 100 times
    Then a hedge is denied as "nothing"

  Scenario Outline: The limit holds in each window, however many requests are slow
    When daemons with a limit of <limit> hedge whatever they may with 1000 seeds
    Then no window that ends with a hedge has more hedges than the limit

    Examples:
      | limit |
      | 0     |
      | 0.01  |
      | 0.02  |
      | 0.05  |
      | 0.1   |

  Scenario Outline: Hedges shorten the tail of the latencies and never lengthen it
    When <servers> servers at a load of <load> run with limits 0 and <limit>, <seeds> seeds, <stragglers> stragglers and <declining> declining servers
    Then the hedges of each daemon stay within the limit
    And the median and the 99th percentile are at most 1.02 times as long
    And the 99.9th percentile is at most <tail> times as long

    Examples: one in 333 runs takes 12 times as long
      | servers | load | limit | seeds | stragglers | declining | tail |
      | 20      | 0.3  | 0.02  | 2     | 0          | 0         | 0.65 |
      | 20      | 0.5  | 0.01  | 2     | 0          | 0         | 0.8  |
      | 20      | 0.5  | 0.02  | 2     | 0          | 0         | 0.5  |
      | 20      | 0.5  | 0.05  | 2     | 0          | 0         | 0.5  |
      | 20      | 0.5  | 0.1   | 2     | 0          | 0         | 0.5  |
      | 20      | 0.5  | 0.02  | 8     | 1          | 2         | 0.65 |
      | 20      | 0.8  | 0.02  | 2     | 0          | 0         | 0.5  |
      | 20      | 1.1  | 0.02  | 3     | 1          | 2         | 1.0  |
      | 78      | 0.5  | 0.02  | 2     | 0          | 0         | 0.5  |
