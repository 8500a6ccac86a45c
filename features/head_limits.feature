Feature: The operator's limit on heads is in force, whatever the pieces they arrive in

  # Guards against heads that the operator allows and a constant of the server refuses.
  Scenario Outline: A head up to the limit is served, and a larger one is refused
    Given a fleet whose operator allows heads of <limit> bytes
    When a request with a head of <size> bytes arrives in pieces of <piece> bytes
    Then its status is <status>

    Examples:
      | limit   | size    | piece  | status |
      | 65536   | 48000   | 1460   | 200    |
      | 65536   | 65536   | 1460   | 200    |
      | 65536   | 65537   | 1460   | 431    |
      | 65536   | 65536   | 70000  | 200    |
      | 65536   | 70000   | 70000  | 431    |
      | 16384   | 16384   | 16384  | 200    |
      | 16384   | 16385   | 20000  | 431    |
      | 16384   | 20000   | 1460   | 431    |
      | 2000000 | 1900000 | 1460   | 200    |
      | 0       | 32768   | 1460   | 200    |
      | 0       | 32769   | 40000  | 431    |

  # Guards against a head that a new version refuses though it began before.
  Scenario Outline: The limit that was in force when a head began holds for it
    Given a fleet whose operator allows heads of <before> bytes
    When a request with a head of 48000 bytes arrives over 3000 ms
    And the operator allows heads of <after> bytes 500 ms after its start
    Then its status is <status>

    Examples:
      | before | after | status |
      | 65536  | 16384 | 200    |
      | 16384  | 65536 | 431    |

  # Guards against a 431, which callers don't retry, where 503 is the answer.
  Scenario: A daemon without a table refuses no head for good
    Given a fleet whose store refuses all daemons
    When a request with a head of 48000 bytes arrives in pieces of 1460 bytes
    Then its status is 503

  # Guards against a process that ends since its callers may send large heads.
  Scenario: Large heads that don't fit into memory are refused with a time to retry
    Given a fleet whose operator allows heads of 8000000 bytes
    When 6 requests with heads of 7900000 bytes arrive side by side over 3000 ms
    Then 4 have the status 200 and 2 the status 503 with a time to retry
    And a small request beside them has the status 200
    And no memory is reserved for heads any longer
