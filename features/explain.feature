Feature: The logs of all daemons explain why a request failed

  Scenario Outline: The cause of a failure is found from the logs alone
    Given an entry and a gate beside a backend server, whose logs are recorded
    When a request fails because <plant>
    Then its explanation names the cause "<cause>"
    And without its "<event>" lines the cause is not found

    Examples:
      | plant                            | cause                                      | event         |
      | all slots are taken              | overloaded: 1 gates tried had no free slot | request-ended |
      | the backend server fails it      | failed the work with 500, believed good    | work-ended    |
      | the backend server hangs         | did not answer in time                     | work-ended    |
      | the answer is lost               | closed the connection before its response  | work-ended    |
      | the backend server is leaving    | the targets tried were leaving             | request-ended |
      | its target failed just before    | the targets tried had failed               | request-ended |
      | no target is known               | no target of the service was known         | request-ended |
      | its time had passed              | its deadline passed                        | request-ended |
      | the gate is gone                 | the connection to a gate was lost          | request-ended |
      | its caller goes away             | the caller disconnected                    | request-ended |
      | a call made for it finds no room | a call to contracts failed: overloaded     | request-ended |

  Scenario Outline: An explanation tells who ended the connection
    Given these log lines of daemons
      | process | second | line                                                 |
      | d1      | 0      | event=request-cancelled request_id=r1 ended_by=<end> |
      | d1      | 0      | event=request-ended request_id=r1 outcome=caller-left |
    Then the cause of request "r1" is "<cause>"

    Examples:
      | end               | cause                                                  |
      | caller-closed     | the caller disconnected                                |
      | connection-failed | the caller disconnected                                |
      | idle-timeout      | the daemon ended the caller's connection: idle-timeout |

  Scenario: Causes are counted
    Given an entry and a gate beside a backend server, whose logs are recorded
    When a request fails because the backend server fails it
    Then the causes are counted as "1  target of contracts failed the work with 500"

  Scenario: An explanation lists the beliefs of daemons and their age
    Given an entry and a gate beside a backend server, whose logs are recorded
    When a request fails because the backend server fails it
    And its gate had logged the standing "warming" 2 s before
    Then its explanation names the cause "believed warming before"
    And its explanation lists "target-standing" with an age of 2 s

  Scenario: Beliefs of a daemon from before its restart are omitted
    Given an entry and a gate beside a backend server, whose logs are recorded
    When a request fails because the backend server fails it
    And its gate had logged the standing "warming" 2 s before
    And its gate had started 1 s before
    Then its explanation names the cause "believed good before"

  Scenario: The beliefs of the fleet at a point in time
    Given these log lines of daemons
      | process | second | line                                                |
      | d1      | 0      | event=daemon-started                                |
      | d1      | 1      | event=table-in-force version=3                      |
      | d2      | 1      | event=table-in-force version=4                      |
      | d2      | 2      | event=target-standing target=c/i-2 standing=failing |
      | d1      | 2      | event=member-state member=d3 state=suspect          |
      | d2      | 3      | event=member-state member=d3 state=suspect          |
      | d2      | 3      | event=log-reachability reachable=False              |
      | d1      | 4      | event=daemon-started                                |
      | d2      | 5      | event=target-standing target=c/i-2 standing=good    |
    Then at second 3 the beliefs are
      | text                           |
      | table version 3: 1 daemons     |
      | table version 4: 1 daemons     |
      | target c/i-2: failing          |
      | member d3 suspect: 2 daemons   |
      | store not reached by d2        |
    And at second 6 the beliefs are
      | text                           |
      | table version 4: 1 daemons     |
      | member d3 suspect: 1 daemons   |
      | store not reached by d2        |

  Scenario Outline: Log lines are parsed to the values that were written
    Given a log line with the field <value>
    Then it is parsed to the same values

    Examples:
      | value        |
      | plain        |
      | two words    |
      | a="b" \ c    |
      | line\nbreaks |
