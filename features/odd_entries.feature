Feature: An entry that can't be read costs itself only

  # Guards against heartbeats of another writer that take a server out of service, bring
  # it back or have another service's requests sent to it.
  Scenario Outline: An odd heartbeat is refused, and the next good one is accepted
    When a heartbeat with <oddity> arrives, and then a good one
    Then the odd one is answered with <status>, the good one with 200
    And only the good one was announced

    Examples:
      | oddity                         | status |
      | 200000 nested lists            | 400    |
      | 200000 nested unknown lists    | 400    |
      | born of 10000000000000000000000| 400    |
      | born in an hour                | 400    |
      | born of -5                     | 400    |
      | a sequence of 2 to the 64th    | 400    |
      | a sequence of -1               | 400    |
      | an empty service               | 400    |
      | a service of 5000 characters   | 400    |
      | a service with a slash         | 400    |
      | port 99999                     | 400    |
      | port 0                         | 400    |
      | slots without end              | 400    |
      | an identifier with spaces      | 400    |
      | bytes that are no text         | 400    |
      | no service                     | 400    |
      | no address                     | 400    |
      | no zone                        | 400    |
      | no version                     | 400    |
      | no slots                       | 400    |
      | no state                       | 400    |
      | no warmup-left                 | 400    |
      | no sequence                    | 400    |
      | no born                        | 400    |
      | born of 0                      | 400    |
      | born of null                   | 400    |
      | a zone of 5                    | 400    |
      | a version of 1                 | 400    |

  # Guards against a local process that fills the daemon's memory.
  Scenario Outline: A heartbeat that is too long is not read to its end
    When a heartbeat of <size> KiB arrives
    Then it is answered with <status> after at most <read> KiB

    Examples:
      | size  | status | read |
      | 2     | 200    | 4    |
      | 80000 | 400    | 72   |

  Scenario Outline: Whatever the bytes, a reader returns a value or raises its error
    Then 300 inputs, and deeply nested ones, raise only typed errors in the reader of <what>

    Examples:
      | what                         |
      | heartbeats                   |
      | announcements                |
      | messages between daemons     |
      | the configuration            |
      | the store's pages            |
      | the store's records          |
      | numbers in headers           |
      | rate limits in headers       |
      | Keep-Alive headers           |
