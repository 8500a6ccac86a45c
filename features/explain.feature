Feature: The logs of all daemons tell why a request failed

  Scenario Outline: A planted cause is found from the logs alone
    Given an entry, and a gate before a backend server, whose logs are kept
    When a request fails since <plant>
    Then its story names the cause "<cause>"
    And without the lines "<event>" of it the cause is not found

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

  Scenario: Causes are counted
    Given an entry, and a gate before a backend server, whose logs are kept
    When a request fails since the backend server fails it
    Then the causes are counted as "1  target of contracts failed the work with 500"

  Scenario: A story tells what was believed, and since when
    Given an entry, and a gate before a backend server, whose logs are kept
    When a request fails since the backend server fails it
    And its gate had thought it "warming" 2 s before
    Then its story names the cause "believed warming before"
    And its story tells "target-standing" for 2 s

  Scenario: What a daemon believed before its restart is not told
    Given an entry, and a gate before a backend server, whose logs are kept
    When a request fails since the backend server fails it
    And its gate had thought it "warming" 2 s before
    And its gate was started 1 s before
    Then its story names the cause "believed good before"

  Scenario: What the fleet believed at a moment
    Given these lines of daemons
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

  Scenario Outline: Lines are read as they were written
    Given a line with the field <value>
    Then it is read back as it was

    Examples:
      | value        |
      | plain        |
      | two words    |
      | a="b" \ c    |
      | line\nbreaks |
