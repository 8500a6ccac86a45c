Feature: Requests that can't be retried try a doubted server only as far as needed

  Scenario Outline: The part that tries doubted targets depends on what is missing
    Given 20 requests a second, of which <retryable> % could be retried and <unserved> % fail
    When 40 % of the targets are doubted, at 3 requests a second for each
    Then <part> % of the other requests try a doubted target

    Examples:
      | retryable | unserved | part |
      | 0         | 0        | 0    |
      | 0         | 5        | 0    |
      | 0         | 11       | 20   |
      | 0         | 50       | 20   |
      | 20        | 11       | 9    |
      | 50        | 10       | 0    |

  Scenario: Where targets get few requests, the part is at most that of doubted targets
    Given 20 requests a second, of which 0 % could be retried and 50 % fail
    When 40 % of the targets are doubted, at 0.2 requests a second for each
    Then 40 % of the other requests try a doubted target

  Scenario Outline: A gate admits one trial at a time, once its server stopped failing
    Given a gate whose doubted server failed <ago> ms ago, and <running> requests started <since> ms ago
    Then a request that can't be retried is <decision>

    Examples:
      | ago  | running | since | decision |
      | 1400 | 0       | 1400  | refused  |
      | 1500 | 0       | 1500  | admitted |
      | 3000 | 1       | 900   | refused  |
      | 3000 | 1       | 1000  | admitted |

  Scenario: An entry that knows no better target is not refused
    Given a gate whose doubted server failed 100 ms ago, and 0 requests started 100 ms ago
    Then a request of an entry that knows no better target is admitted
