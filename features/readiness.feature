Feature: A daemon reports its readiness and its metrics

  Scenario Outline: A daemon is ready if it knows a table and a target and does not shut down
    Given a daemon that <table> a table and <target> a target and is <phase>
    Then the daemon is <ready>

    Examples:
      | table | target | phase         | ready     |
      | knows | knows  | serving       | ready     |
      | lacks | knows  | serving       | not ready |
      | knows | lacks  | serving       | not ready |
      | knows | knows  | shutting down | not ready |

  Scenario: Metrics are served as text
    Given the metrics of a daemon
    When 3 pieces of work end as "failed" after 200 ms
    Then the exported text has "wagtailstep_work_duration_seconds_count" of 3 for result "failed"
    And the exported text has the gauge "wagtailstep_members"

  Scenario Outline: Requests and calls to the store are counted by outcome
    Given the metrics of a daemon
    When 3 <things> end as "<outcome>"
    Then the exported text has "<metric>" of 3 for outcome "<outcome>"

    Examples:
      | things         | outcome    | metric                              |
      | requests       | overloaded | wagtailstep_requests_total          |
      | requests       | status-200 | wagtailstep_requests_total          |
      | calls to store | status-503 | wagtailstep_store_calls_total       |

  Scenario: Gauges by service are read at each export
    Given the metrics of a daemon
    When a gauge of services reads 4 for "contracts"
    Then the exported text has "wagtailstep_gate_waiting" of 4 for service "contracts"

  Scenario: The age of the table restarts with each version
    Given the metrics of a daemon
    When 5 s pass, a new table comes into force, and 2 s pass
    Then the table is 2 s old

  Scenario: The age of what a daemon knows of the table is exported
    Given the metrics of a daemon
    When all versions of the table are known up to a time, and 3 s pass
    Then the exported text has "wagtailstep_table_known_age_seconds" of 3
