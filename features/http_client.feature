Feature: The HTTP client sends each request exactly once
  Scenario Outline: A request whose exchange failed is not sent again
    Given an HTTP client and a scripted server
    When it sends a non-idempotent request that the server ends with "<behaviour>"
    Then the verdict of request 1 is "may-have-run"
    And the reason of request 1 is "<reason>"
    And the server received 1 request

    Examples:
      | behaviour | reason            |
      | close     | connection-failed |
      | garbage   | connection-failed |
      | half-head | connection-failed |
      | truncate  | truncated-answer  |
      | never     | deadline-exceeded |

  Scenario Outline: A request that fails on a reused connection is not sent again
    Given an HTTP client and a scripted server
    When it requests "ok" and then "<behaviour>" on the same kept-alive connection
    Then request 1 received its own response
    And the verdict of request 2 is "may-have-run"
    And the server received 2 requests
    And the server accepted 1 connection

    Examples:
      | behaviour |
      | close     |
      | truncate  |
      | never     |

  Scenario: The check for duplicates detects a client that resends
    Given an HTTP client with the planted fault "resending" and a scripted server
    When it sends a non-idempotent request that the server ends with "close"
    Then the server received 2 requests

  Scenario: A refused connection means that the request was not run
    Given an HTTP client and a scripted server
    When it sends a request while no server listens
    Then the verdict of request 1 is "not-run"

  Scenario Outline: An unresponsive host is a connection failure only if it had time to respond
    Given an HTTP client and a scripted server
    When it sends a request with a timeout of <time_ms> ms to an unresponsive host
    Then the verdict of request 1 is "not-run"
    And the reason of request 1 is "<reason>"
    And the server received 0 requests

    Examples:
      | time_ms | reason            |
      | 60000   | connection-failed |
      | 100     | deadline-exceeded |

  Scenario: A late response is not mistaken for the response to the next request
    Given an HTTP client and a scripted server
    When a request times out and another is sent before the late response
    Then the verdict of request 1 is "may-have-run"
    And request 2 received its own response
    And the server accepted 2 connections

  Scenario: The check for mixed-up responses detects a client that reuses a timed-out connection
    Given an HTTP client with the planted fault "careless" and a scripted server
    When a request times out and another is sent before the late response
    Then request 2 received a wrong response or none

  Scenario: A connection with unexpected bytes is not reused
    Given an HTTP client and a scripted server
    When it requests "extra" and then "ok" on the same kept-alive connection
    Then request 1 received its own response
    And request 2 received its own response
    And the server accepted 2 connections

  Scenario: A non-idempotent request reuses only a connection that worked recently
    Given an HTTP client and a scripted server
    When a non-idempotent request is sent 2 s after another one
    Then request 2 received its own response
    And the server accepted 2 connections

  Scenario: An idempotent request reuses an idle connection
    Given an HTTP client and a scripted server
    When an idempotent request is sent 2 s after another one
    Then request 2 received its own response
    And the server accepted 1 connection

  Scenario: No request reuses a connection past its idle timeout
    Given an HTTP client and a scripted server
    When an idempotent request is sent 6 s after another one
    Then request 2 received its own response
    And the server accepted 2 connections

  Scenario Outline: A connection is not reused when its server is about to close it
    Given an HTTP client and a scripted server
    When an idempotent request is sent 2 s after another one, to "<path>"
    Then request 2 received its own response
    And the server accepted <count> connections

    Examples:
      | path                       | count |
      | keep-alive/timeout=2       | 2     |
      | keep-alive/max=9,Timeout=1 | 2     |
      | keep-alive/timeout=3       | 1     |
      | keep-alive/timeout=-1      | 1     |
      | keep-alive/timeout=soon    | 1     |

  Scenario: An unused connection is closed
    Given an HTTP client and a scripted server
    When it requests "ok" and then "ok" on the same kept-alive connection
    Then the kept-alive connection was closed after its idle timeout

  Scenario: A rejection is received while the body is still being sent
    Given an HTTP client and a scripted server
    When it sends a body of 100 chunks that the server rejects unread
    Then request 1 was answered with status 503
    And fewer than 100 chunks of the body were sent
    And request 2 received its own response

  Scenario: A body that something else cancelled does not spoil a complete answer
    Given an HTTP client and a scripted server
    When the reading of its body is cancelled after the server has rejected it unread
    Then request 1 was answered with status 503
    And request 2 received its own response

  Scenario: Informational responses are skipped
    Given an HTTP client and a scripted server
    When it requests "informed" and then "ok" on the same kept-alive connection
    Then request 1 received its own response
    And request 2 received its own response

  Scenario: Cancelling a request closes its connection
    Given an HTTP client and a scripted server
    When a request is cancelled while the server processes it
    Then the client closed the connection of the cancelled request
    And the server accepted 2 connections
