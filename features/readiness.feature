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
