Feature: A daemon says when it takes requests

  Scenario Outline: Readiness needs a table and a target, and ends with the shutdown
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
    Then the text has "wagtailstep_work_duration_seconds_count" of 3 for result "failed"
    And the text has the gauge "wagtailstep_members"
