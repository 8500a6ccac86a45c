Feature: A request with a ticket or a key runs at most once

  Background:
    Given daemons "a", "b" and "c" that know each other and share a log

  Scenario: A ticket runs once at its issuer, a resend gets the same answer
    Given a ticket of daemon "a"
    Then the ticket at "a" is decided as "run"
    When the run at "a" ends as "run" with the answer "signed"
    Then the ticket at "a" is decided as "replay" of "signed"
    And the ticket at "b" is decided as "relay" to "a"

  Scenario: A ticket runs nowhere else
    Given a ticket of daemon "a"
    When daemon "a" is considered dead at "b"
    Then the ticket at "b" is decided as "refuse" with "may-have-run"
    And the ticket relayed to "c" by mistake is decided as "refuse" with "may-have-run"

  Scenario: A restarted issuer runs none of its older tickets
    Given a ticket of daemon "a"
    When daemon "a" restarts
    Then the ticket at "a" is decided as "refuse" with "may-have-run"

  Scenario: A ticket is usable again after a run that certainly did not happen
    Given a ticket of daemon "a"
    Then the ticket at "a" is decided as "run"
    When the run at "a" ends as "not-run"
    Then the ticket at "a" is decided as "run"
    When the run at "a" ends as "may-have-run"
    Then the ticket at "a" is decided as "refuse" with "may-have-run"

  Scenario: A resend while the first request runs waits for its answer
    Given a ticket of daemon "a"
    Then the ticket at "a" is decided as "run"
    And the ticket at "a" is decided as "wait"
    When the run at "a" ends as "run" with the answer "signed"
    Then the waiting request at "a" is decided as "replay" of "signed"

  Scenario: A key used for another request is refused
    Given a ticket of daemon "a"
    Then the ticket at "a" is decided as "run"
    And the ticket at "a" with another body is decided as "refuse" with "not-run"

  Scenario: A ticket discarded for many newer ones is refused, not run again
    Given a ticket of daemon "a"
    When the ticket has run at "a" and 10001 more tickets are issued
    Then the ticket at "a" is decided as "refuse" with "may-have-run"

  Scenario: A ticket whose request is running is not discarded
    Given a ticket of daemon "a"
    Then the ticket at "a" is decided as "run"
    When 10001 more tickets are issued at "a"
    Then the ticket at "a" is decided as "wait"

  Scenario: A daemon knows whether it has issued tickets that are still open
    Given a ticket of daemon "a"
    Then "a" has open tickets
    And the ticket at "a" is decided as "run"
    And "a" has open tickets
    When the run at "a" ends as "run"
    Then "a" has no open tickets
    Given a ticket of daemon "a"
    When 10001 ms pass
    Then "a" has no open tickets

  Scenario: A ticket is for one service
    Given a ticket of daemon "a"
    Then the ticket at "a" for service "archive" is decided as "refuse" with "not-run"
    And the ticket at "a" is decided as "run"

  Scenario: The stored answers have a bounded size
    When 400 tickets run at "a" with answers of 16000 bytes each
    Then at most 4194304 bytes of answers are kept at "a"

  Scenario: The first claim in the log's order wins at every daemon
    When "a" and "b" claim the key "k1" at once and the appends of "b" come first in the log
    Then the request at "b" is decided as "run"
    And the request at "a" is decided as "relay" to "b"

  Scenario: Keys of different client accounts are different
    When client account "union" claims the key "k1" at "a" and client account "hall" at "b"
    Then the request at "a" is decided as "run"
    And the request at "b" is decided as "run"

  Scenario: An acknowledged append does not decide while an earlier record is unread
    When "b" claims the key "k1" and its append applies without acknowledgment
    And "a" claims the key "k1" and its append is acknowledged
    Then the request at "a" is not decided
    When all daemons read the log
    Then the request at "a" is decided as "relay" to "b"

  Scenario: An acknowledged append decides once all earlier records are read
    When "b" claims the key "k1"
    And the claimed run at "b" ends as "not-run"
    And the appends of "b" are completed and read by all daemons
    And "a" claims the key "k1" and its append is acknowledged
    Then the request at "a" is decided as "run"
    When all daemons read the log
    And "c" claims the key "k1"
    Then the request at "c" is decided as "relay" to "a"

  Scenario: A claim without acknowledgment is decided by reading the log
    When "a" claims the key "k1" and its append applies without acknowledgment
    And all daemons read the log
    Then the request at "a" is decided as "run"
    And nothing is appended again by "a"

  Scenario: A lost append is retried
    When "a" claims the key "k1" and its append is lost without acknowledgment
    And 600 ms pass
    Then the claim of "a" is appended once more

  Scenario: A claim that is cancelled and then read is released, not run
    When "a" claims the key "k1" and its append is lost without acknowledgment
    And the request at "a" is cancelled
    And the lost append of "a" applies late
    And all daemons read the log
    Then the request at "a" is not decided
    When the appends of "a" are completed and read by all daemons
    And "b" claims the key "k1"
    Then the request at "b" is decided as "run"

  Scenario: A repeated record of a claim that follows its release is released again
    When "a" claims the key "k1" and its append is lost without acknowledgment
    And 600 ms pass
    And the appends of "a" are completed and read by all daemons
    Then the request at "a" is decided as "run"
    When the claimed run at "a" ends as "not-run"
    And the appends of "a" are completed and read by all daemons
    And the lost append of "a" applies late
    And all daemons read the log
    And the appends of "a" are completed and read by all daemons
    And "b" claims the key "k1"
    Then the request at "b" is decided as "run"

  Scenario: A run that ended as not-run releases its key, one that may have run does not
    When "a" claims the key "k1"
    And the claimed run at "a" ends as "not-run"
    And the appends of "a" are completed and read by all daemons
    And "b" claims the key "k1"
    Then the request at "b" is decided as "run"
    When the claimed run at "b" ends as "may-have-run"
    And the appends of "b" are completed and read by all daemons
    And "c" claims the key "k1"
    Then the request at "c" is decided as "relay" to "b"

  Scenario: A key stays held when the daemon that holds it restarts
    When "a" claims the key "k1"
    And daemon "a" restarts
    And "b" claims the key "k1"
    Then the request at "b" is decided as "relay" to "a"
    And the key "k1" relayed to "a" is decided as "refuse" with "may-have-run"

  Scenario Outline: While the log is unavailable a key is refused at once
    When the log is unavailable for all three daemons
    And "a" gets a request with key "k1" that is "<sending>"
    Then the request at "a" is decided as "refuse" with "<verdict>"

    Examples:
      | sending         | verdict      |
      | a first sending | not-run      |
      | perhaps resent  | may-have-run |

  Scenario: The table may let a service send once while the log is unavailable
    Given the table lets "contracts" send once while the log is unavailable
    When the log is unavailable for all three daemons
    And "a" gets a request with key "k1" that is "perhaps resent"
    Then the request at "a" is decided as "run"
    When the claimed run at "a" ends as "run"
    And the log is available again for all three daemons
    And the appends of "a" are completed and read by all daemons
    And "b" claims the key "k1"
    Then the request at "b" is decided as "relay" to "a"

  Scenario: A restarted daemon does not mistake a claim of its previous run for a new one
    When "a" claims the key "k1"
    And the claimed run at "a" ends as "may-have-run"
    And daemon "a" restarts before it has read the log
    And "a" claims the key "k1"
    Then the request at "a" is decided as "refuse" with "may-have-run"

  Scenario: A release frees only the claim that it names
    When "b" claims the key "k1"
    And the log holds a release of a claim of "a" on "k1" with the same number
    And "c" claims the key "k1"
    Then the request at "c" is decided as "relay" to "b"

  Scenario: A resend at the same daemon waits for the claim, another request doesn't
    When "a" claims the key "k1" and its append applies without acknowledgment
    Then the key "k1" at "a" is decided as "wait"
    And the key "k1" with another body at "a" is decided as "refuse" with "not-run"

  Scenario: If the log refuses a claim, its request ends at once
    When "a" gets a request with key "k1" that is "a first sending"
    And the append of "a" is refused by the log
    Then the request at "a" is decided as "refuse" with "not-run"
    And nothing is appended again by "a"

  Scenario: A new request takes over a cancelled claim that holds the key
    When "a" claims the key "k1" and its append is lost without acknowledgment
    And the request at "a" is cancelled
    And the lost append of "a" applies late
    And "a" gets a request with key "k1" that is "perhaps resent"
    And the appends of "a" are completed and read by all daemons
    And the appends of "a" are completed and read by all daemons
    Then the request at "a" is decided as "run"

  Scenario: A claim cancelled before its append is never appended
    When "a" claims the key "k1" and its append is lost without acknowledgment
    And "a" gets a request with key "k2" that is "a first sending"
    And the request at "a" is cancelled
    And 600 ms pass
    Then the claim of "a" is appended once more

  Scenario: A key whose record has expired may be used again
    When "a" claims the key "k1"
    And the claimed run at "a" ends as "run"
    And the record expires from the log before "b" reads it
    And "b" claims the key "k1"
    Then the request at "b" is decided as "run"

  Scenario: A request whose key was not stored for lack of space is not run
    When 20000 other keys have been claimed in the log
    And "b" gets a request with key "k1" although its key store is full
    And the retention of the log has nearly passed
    Then the request at "b" is decided as "refuse" with "may-have-run"

  Scenario: A gap in the log never leads to a run
    When "a" claims the key "k1" and its append applies without acknowledgment
    And the record expires from the log before "a" reads it
    Then the request at "a" is decided as "refuse" with "may-have-run"

  Scenario: When too many keys are held, new ones are refused and old ones kept
    When 20000 other keys have been claimed in the log
    And 1 other key is claimed in the log
    And "a" gets a request with key "k1" that is "a first sending"
    Then the request at "a" is decided as "refuse" with "not-run"
    When the retention of the log has passed
    And "a" claims the key "k2"
    Then the request at "a" is decided as "run"

  Scenario: A busy daemon makes few appends
    When 300 keys are claimed at "a" while its first append is under way
    Then the appends of "a" are 3 in all

  Scenario: A caller that disconnects leaves neither a claim nor a run
    When a caller disconnects while its key is claimed
    Then the claim is released after it has been read

  Scenario: A caller that disconnects at the moment of the decision leaves no run
    When a caller disconnects at the moment its claim is acquired
    Then the claim is released after it has been read

  Scenario Outline: A ticket used for another request at the entry is refused
    When a ticket is used at an entry and then again with another <part>
    Then the second answer is 422 with verdict "not-run"

    Examples:
      | part    |
      | path    |
      | body    |
      | account |

  Scenario: After a pause past the deadline between decision and run, the request is not run
    When a keyed request acquires its claim at an entry that pauses past the deadline
    Then no attempt is made and the key is released
