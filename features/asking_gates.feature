Feature: A request finds a free slot before it joins a queue

  Scenario: A free slot among many taken ones is found
    Given gates of which 1 in 4 has a free slot
    When 200 requests look for a slot one at a time
    Then at least 50 % of them ran without a wait
    And none was sent to more than 4 gates

  Scenario: With all slots taken the shortest queue that was seen is joined
    Given gates without a free slot that expect waits of 50 to 400 ms
    When 100 requests look for a slot one at a time
    Then each joined the shortest of the queues that it was told of

  Scenario Outline: Close to what the slots can carry and above, few answers are late
    Given 20 gates with 4 slots each and work of 250 ms
    When requests arrive for 30 s at <load> of what the slots can carry
    Then at least <share> % are answered within 800 ms
    And with each request joining the first gate's queue <fewer> % fewer are

    Examples:
      | load | share | fewer |
      | 0.85 | 99    | 3     |
      | 0.95 | 99    | 6     |
      | 1.05 | 94    | 6     |
      | 1.2  | 81    | 2     |

  Scenario Outline: Where short and long work share the slots, no kind is crowded out
    Given 6 gates with 4 slots each and a mix of short and long work
    When mixed requests arrive for 40 s at <load> of the slots
    Then at least <share> % of each kind are answered

    Examples:
      | load | share |
      | 0.95 | 99    |
      | 1.2  | 65    |

  Scenario: What fails for want of room at a called service is not run again
    Given gates whose servers fail since their call was refused
    When 20 idempotent requests look for a slot one at a time
    Then each was sent once

  Scenario: What fails otherwise is run again
    Given gates whose servers fail
    When 20 idempotent requests look for a slot one at a time
    Then some were sent twice

  Scenario Outline: Where all good targets are full a doubted one is tried before a refusal
    Given full gates of 6 good targets, and 2 doubted and 2 failing ones that answer
    When 10 <kind> requests look for a slot one at a time
    Then <served> of them were answered, and all by doubted targets

    Examples:
      | kind           | served |
      | idempotent     | 10     |
      | non-idempotent | 0      |

  Scenario Outline: Only a request that could be sent again resolves a doubt
    Given 6 good targets, and 2 doubted and 2 failing ones that fail
    And <budget> retries of the fleet are left
    When 40 idempotent requests look for a slot one at a time
    Then <least> to <most> of them were sent to a doubted target first

    Examples:
      | budget | least | most |
      | all    | 5     | 20   |
      | no     | 0     | 0    |

  Scenario: A doubted target is tried once, and its failure is not a refusal
    Given full gates of 6 good targets, and 2 doubted and 2 failing ones that fail
    When 10 idempotent requests look for a slot one at a time
    Then none was sent to more than 1 doubted or failing target

  Scenario: A refusal after an attempt that may have run promises nothing
    Given gates that break off the first attempt and refuse the next ones
    When 5 idempotent requests look for a slot one at a time
    Then each ended with status 502 and verdict "may-have-run"

  Scenario: A refusal of all attempts is a promise
    Given gates that refuse all attempts
    When 5 idempotent requests look for a slot one at a time
    Then each ended with status 503 and verdict "not-run"

  Scenario Outline: No attempt is broken off where the next one might be refused
    Given gates without a free slot that expect waits of 50 to 400 ms
    When the daemon is <phase> and an attempt has taken too long
    Then the attempt is <fate>

    Examples:
      | phase         | fate       |
      | serving       | broken off |
      | shutting down | kept       |
      | out of room   | kept       |
