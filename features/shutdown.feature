Feature: A daemon that shuts down answers the requests that it has accepted

  # Guards against requests that are cut although the grace has not passed.
  Scenario Outline: A request that needs most of the grace is answered
    Given a fleet whose platform gives a grace of <grace>
    When a request that takes 4500 ms reaches a daemon 800 ms after SIGTERM
    Then it gets its own answer

    Examples:
      | grace |
      | 10s   |
      | 6s    |

  # Guards against requests that are cut by the grace that held when the daemon started.
  Scenario Outline: A shutdown uses the grace of the newest settings
    Given a fleet whose platform gives a grace of 6s
    When the settings file of a daemon changes to a grace of <grace> <signal> SIGHUP
    And a request that takes 4900 ms reaches it 1500 ms after SIGTERM
    Then it gets its own answer

    Examples:
      | grace | signal  |
      | 10s   | with    |
      | 10s   | without |

  # Guards against requests that are passed on late in the grace and cut at its end.
  Scenario Outline: Requests whose bodies arrive late in the grace are answered or refused
    Given a fleet whose platform gives a grace of <grace>
    When uploads of <size> bytes that take <body> ms to arrive and <work> ms to run reach a daemon around SIGTERM
    Then each one that began more than <body> ms before the end of the grace has a complete answer
    And those that were refused as not run have not run
    And at least <served> of them are served

    Examples:
      | grace | size  | body | work | served |
      | 6s    | 20000 | 3000 | 1500 | 20     |
      | 6s    | 90000 | 3000 | 1500 | 20     |

  Scenario Outline: What a daemon that shuts down passes on depends on the time that is left
    Given requests of a route with an aim of <aim> ms that recently took <recent> ms
    When a request with <timeout> ms until its deadline is to be sent <left> ms before the end of a shutdown
    Then it is <decision>

    Examples:
      | aim  | recent   | timeout | left | decision |
      | 800  | 200      | 5000    | 1100 | sent     |
      | 800  | 200      | 5000    | 900  | rejected |
      | 800  | 200 2000 | 5000    | 2600 | sent     |
      | 800  | 200 2000 | 5000    | 2400 | rejected |
      | 800  | 2000     | 900     | 950  | sent     |
      | 0    | nothing  | 5000    | 2600 | sent     |
      | 0    | nothing  | 5000    | 2400 | rejected |
      | 0    | 100      | 5000    | 200  | sent     |

  # Guards against a request that is passed on late in a shutdown and cut at its end,
  # since it takes far longer than all recent ones of its route.
  Scenario Outline: Late in a shutdown, unusually long requests are allowed for
    Given requests of a route with an aim of <aim> ms that recently took <recent> ms
    When a request with <timeout> ms until its deadline is to be sent <left> ms before the end of a shutdown of 5700 ms
    Then it is <decision>

    Examples:
      | aim  | recent | timeout | left | decision |
      | 1000 | 250    | 8000    | 1400 | rejected |
      | 1000 | 250    | 8000    | 2400 | rejected |
      | 1000 | 250    | 8000    | 2600 | sent     |
      | 1000 | 250    | 1300    | 1400 | sent     |
      | 2300 | 700    | 8000    | 2800 | rejected |
      | 2300 | 700    | 8000    | 2900 | sent     |
      | 4000 | 700    | 8000    | 4900 | rejected |
      | 4000 | 700    | 8000    | 5100 | sent     |

  Scenario: Requests of long ago say nothing about the time that a request takes
    Given requests of a route with an aim of 800 ms that recently took 4000 ms
    And the last one ended 70 s ago
    When a request with 5000 ms until its deadline is to be sent 1100 ms before the end of a shutdown
    Then it is sent

  Scenario: A daemon that serves passes on any request
    Given requests of a route with an aim of 800 ms that recently took 4000 ms
    When a request with 5000 ms until its deadline is to be sent
    Then it is sent
