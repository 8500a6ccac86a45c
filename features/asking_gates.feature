Feature: A request looks for a free slot before it joins a queue

  Scenario: A free slot is found where most slots are occupied
    Given gates of which 1 in 4 has a free slot
    When 200 requests look for a slot one at a time
    Then at least 50 % of them ran without queueing
    And none was sent to more than 4 gates

  Scenario: If all slots are occupied, the request joins the shortest queue reported to it
    Given gates without a free slot that expect waits of 50 to 400 ms
    When 100 requests look for a slot one at a time
    Then each joined the shortest of the queues reported to it

  Scenario Outline: Near and above the capacity of the slots, few answers are late
    Given 20 gates with 4 slots each and work of 250 ms
    When requests arrive for 30 s at <load> of the capacity of the slots
    Then at least <share> % are answered within 800 ms
    And with each request joining the first gate's queue <fewer> % fewer are

    Examples:
      | load | share | fewer |
      | 0.85 | 99    | 3     |
      | 0.95 | 99    | 6     |
      | 1.05 | 94    | 6     |
      | 1.2  | 81    | 2     |

  Scenario Outline: Where short and long requests share the slots, no class starves
    Given 6 gates with 4 slots each and a mix of short and long requests
    When mixed requests arrive for 40 s at <load> of the slots
    Then at least <share> % of each class are answered

    Examples:
      | load | share |
      | 0.95 | 99    |
      | 1.2  | 65    |

  Scenario: A request that failed because a nested call was refused is not retried
    Given gates whose backend servers fail because their call was refused
    When 20 idempotent requests look for a slot one at a time
    Then each was sent once

  Scenario: A request that failed for another reason is retried
    Given gates whose backend servers fail
    When 20 idempotent requests look for a slot one at a time
    Then some were sent twice

  Scenario Outline: If all good targets are full, a doubted one is tried before the request is refused
    Given full gates of 6 good targets, and 2 doubted and 2 failing ones that answer
    When 10 <kind> requests look for a slot one at a time
    Then <served> of them were answered, and all by doubted targets

    Examples:
      | kind           | served |
      | idempotent     | 10     |
      | non-idempotent | 0      |

  Scenario Outline: Only a request that could be retried is used to try a doubted target
    Given 6 good targets, and 2 doubted and 2 failing ones that fail
    And <budget> retries of the fleet-wide budget are left
    When 40 idempotent requests look for a slot one at a time
    Then <least> to <most> of them were sent to a doubted target first

    Examples:
      | budget | least | most |
      | all    | 5     | 20   |
      | no     | 0     | 0    |

  Scenario: A doubted target is tried once, and its failure is not reported as a refusal
    Given full gates of 6 good targets, and 2 doubted and 2 failing ones that fail
    When 10 idempotent requests look for a slot one at a time
    Then none was sent to more than 1 doubted or failing target

  Scenario: A refusal after an attempt that may have run is reported as may-have-run
    Given gates that abort the first attempt and refuse the next ones
    When 5 idempotent requests look for a slot one at a time
    Then each ended with status 502 and verdict "may-have-run"

  Scenario: A refusal of all attempts is reported as not-run
    Given gates that refuse all attempts
    When 5 idempotent requests look for a slot one at a time
    Then each ended with status 503 and verdict "not-run"

  Scenario Outline: No attempt is aborted where the next one might be refused
    Given gates without a free slot that expect waits of 50 to 400 ms
    When the daemon is <phase> and an attempt reaches its timeout
    Then the attempt is <fate>

    Examples:
      | phase         | fate       |
      | serving       | broken off |
      | shutting down | kept       |
      | out of room   | kept       |
