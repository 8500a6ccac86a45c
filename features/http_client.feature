Feature: The HTTP client sends each request exactly once
  Scenario Outline: A broken exchange is not sent again
    Given an HTTP client and a scripted server
    When it sends a non-idempotent request that the server ends with "<behaviour>"
    Then the verdict of request 1 is "may-have-run"
    And the reason of request 1 is "<reason>"
    And the server was delivered 1 request

    Examples:
      | behaviour | reason            |
      | close     | connection-failed |
      | garbage   | connection-failed |
      | half-head | connection-failed |
      | truncate  | truncated-answer  |
      | never     | deadline-exceeded |

  Scenario Outline: A kept connection that breaks is no reason to send again
    Given an HTTP client and a scripted server
    When it sends "ok" and then the same over the kept connection with "<behaviour>"
    Then request 1 got its own answer
    And the verdict of request 2 is "may-have-run"
    And the server was delivered 2 requests
    And the server saw 1 connection

    Examples:
      | behaviour |
      | close     |
      | truncate  |
      | never     |

  Scenario: The check for resends catches a client that resends
    Given an HTTP client with the planted fault "resending" and a scripted server
    When it sends a non-idempotent request that the server ends with "close"
    Then the server was delivered 2 requests

  Scenario: A connection that was refused carried nothing
    Given an HTTP client and a scripted server
    When it sends a request while nobody listens
    Then the verdict of request 1 is "not-run"

  Scenario Outline: A host that answers nothing is blamed only if it had time to answer
    Given an HTTP client and a scripted server
    When it can't connect to a host that answers nothing within <time_ms> ms
    Then the verdict of request 1 is "not-run"
    And the reason of request 1 is "<reason>"
    And the server was delivered 0 requests

    Examples:
      | time_ms | reason            |
      | 60000   | connection-failed |
      | 100     | deadline-exceeded |

  Scenario: A late answer is not taken for the answer to the next request
    Given an HTTP client and a scripted server
    When one request times out and another follows before the late answer
    Then the verdict of request 1 is "may-have-run"
    And request 2 got its own answer
    And the server saw 2 connections

  Scenario: The check for own answers catches a client that reuses a broken connection
    Given an HTTP client with the planted fault "careless" and a scripted server
    When one request times out and another follows before the late answer
    Then request 2 got a wrong answer or none

  Scenario: Bytes that nobody asked for spoil a kept connection
    Given an HTTP client and a scripted server
    When it sends "extra" and then the same over the kept connection with "ok"
    Then request 1 got its own answer
    And request 2 got its own answer
    And the server saw 2 connections

  Scenario: A non-idempotent request takes no connection that was not proved lately
    Given an HTTP client and a scripted server
    When a non-idempotent request follows 2 s after another one
    Then request 2 got its own answer
    And the server saw 2 connections

  Scenario: An idempotent request keeps the connection
    Given an HTTP client and a scripted server
    When an idempotent request follows 2 s after another one
    Then request 2 got its own answer
    And the server saw 1 connection

  Scenario: No request takes a connection that was idle for too long
    Given an HTTP client and a scripted server
    When an idempotent request follows 6 s after another one
    Then request 2 got its own answer
    And the server saw 2 connections

  Scenario: A connection that nobody uses is closed
    Given an HTTP client and a scripted server
    When it sends "ok" and then the same over the kept connection with "ok"
    Then the kept connection was closed when it had been idle for too long

  Scenario: A refusal is heard while the body is still being sent
    Given an HTTP client and a scripted server
    When it sends a body of 100 chunks that the server refuses unread
    Then request 1 was answered with status 503
    And fewer than 100 chunks of the body were taken
    And request 2 got its own answer

  Scenario: Informational answers are skipped
    Given an HTTP client and a scripted server
    When it sends "informed" and then the same over the kept connection with "ok"
    Then request 1 got its own answer
    And request 2 got its own answer

  Scenario: Cancelling a request closes its connection
    Given an HTTP client and a scripted server
    When a request is cancelled while the server works on it
    Then the server saw the connection of the cancelled request close
    And the server saw 2 connections
