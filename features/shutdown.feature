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
