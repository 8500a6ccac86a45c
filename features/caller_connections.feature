Feature: A caller's connection is never closed under a request that was read

  Scenario Outline: The log tells who ended a connection with a request in progress
    Given a kept connection to an HTTP server on sockets
    When the connection of request "r-1" ends because <end>
    Then one line tells that request "r-1" was ended by "<ended by>"

    Examples:
      | end                               | ended by          |
      | the caller closes it              | caller-closed     |
      | the caller resets it              | connection-failed |
      | the server stops                  | server-stopped    |
      | malformed bytes follow            | malformed-request |
      | the handler is cancelled          | cancelled         |
      | the response can't be written     | response-failed   |
