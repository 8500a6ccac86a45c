Feature: A published table comes into force everywhere and never reverts

  Background:
    Given 6 daemons that follow published tables

  Scenario: A version that one daemon reads reaches all
    When daemon 0 reads version 7 from the store
    And 3 s pass for all daemons
    Then all daemons have version 7 in force

  Scenario: An older version is never put in force
    When daemon 0 reads version 7 from the store
    And daemon 0 reads version 5 from the store
    Then daemon 0 has version 7 in force

  Scenario: A version that all daemons read at once does not travel between them
    When all daemons read version 7 of 100000 bytes from the store
    And 5 s pass for all daemons
    Then all daemons have version 7 in force
    And no document was sent

  Scenario: A version that one daemon reads travels about once to each of the others
    When daemon 0 reads version 7 of 100000 bytes from the store
    And 5 s pass for all daemons
    Then all daemons have version 7 in force
    And at most 10 documents of at most 2000 bytes were sent

  Scenario: A version reaches daemons that the store turns away within its bound
    When daemon 0 reads version 6 from the store
    And 5 s pass for all daemons
    And daemon 0 reads version 7 from the store
    And 2 s pass for all daemons
    Then all daemons have version 7 in force

  Scenario Outline: Announcements alone bring a version to all daemons of a zone
    Given <count> daemons in 3 zones that follow published tables
    When daemon 0 reads version 6 from the store
    And 5 s pass for all daemons
    Then each of versions 7 to 36 is everywhere once the followers have read it

    Examples:
      | count |
      | 27    |
      | 60    |

  Scenario: A daemon of an older release gets the document without a request
    When daemon 0 reads version 7 from the store
    And daemon 0 receives version 5 from daemon 1, which has an older release
    Then daemon 0 answered with the document only

  Scenario: A corrupt document from a peer changes nothing
    When daemon 0 reads version 7 from the store
    And daemon 0 receives a corrupt version 9 from daemon 1
    Then daemon 0 has version 7 in force

  Scenario: A corrupt document from a peer doesn't keep out the one in the store
    When daemon 0 reads version 7 from the store
    And daemon 0 receives a corrupt version 9 from daemon 1
    And daemon 0 reads version 9 from the store
    Then daemon 0 has version 9 in force

  Scenario: A daemon that can't read the store gets the table from its peers
    Given daemon 5 receives no announced version
    When daemon 0 reads version 7 from the store
    And 12 s pass for all daemons
    Then all daemons have version 7 in force

  Scenario Outline: A few daemons of each zone follow the table for all
    Given <daemons> daemons in <zones> zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 20 s pass for all daemons
    Then 2 daemons of each zone follow the table
    When the followers read version 7 from the store
    And 2 s pass for all daemons
    Then all daemons have version 7 in force
    And 2 daemons of each zone follow the table

    Examples:
      | daemons | zones |
      | 27      | 3     |
      | 103     | 3     |
      | 235     | 5     |

  Scenario: All daemons follow the table while none can reach the store
    Given 27 daemons in 3 zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 10 s pass for all daemons
    And no daemon can reach the store any more
    And 15 s pass for all daemons
    Then all daemons follow the table
    When all daemons can reach the store again
    And 10 s pass for all daemons
    Then 2 daemons of each zone follow the table

  Scenario: Others follow the table while no designated daemon can reach the store
    Given 27 daemons in 3 zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 10 s pass for all daemons
    And no follower can reach the store any more
    And 2 s pass for all daemons
    Then at most 4 daemons of each zone that can reach the store follow the table
    When the followers that can reach the store read version 7
    And 1 s pass for all daemons
    Then all daemons have version 7 in force
    When all daemons can reach the store again
    And 10 s pass for all daemons
    Then 2 daemons of each zone follow the table

  Scenario: What daemons tell each other does not keep their knowledge young
    Given 27 daemons in 3 zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 10 s pass for all daemons
    And no daemon can reach the store any more
    And 5 s pass for all daemons
    Then the knowledge of each daemon is 4900 to 6500 ms old

  Scenario: A daemon that has just started does not confirm others' knowledge
    Given 27 daemons in 3 zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 10 s pass for all daemons
    And no daemon can reach the store any more
    And 5 s pass for all daemons
    And daemon 26 starts again
    And 2 s pass for all daemons
    Then the knowledge of each daemon is 6900 to 8500 ms old

  Scenario: A version is requested from the next daemon that announced it
    When all daemons read version 6 of 4 bytes from the store
    And daemon 2 reads version 7 from the store and announces it to nobody
    And daemon 5 receives version 7 from daemon 1
    And daemon 5 receives version 7 from daemon 2
    And 1 s pass for daemon 5
    Then daemon 5 has version 7 in force

  Scenario: A daemon that can't read the newest version does not confirm others' knowledge
    When all daemons read version 6 of 4 bytes from the store
    And daemon 0 reads an unreadable version 9 from the store
    And daemon 0 announces its version
    Then daemon 0 told no age of its knowledge
    When daemon 0 reads version 10 from the store
    And daemon 0 announces its version
    Then daemon 0 told the age of its knowledge

  Scenario: A read that ends after a daemon has stopped to follow the table is not announced
    Given 27 daemons in 3 zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 10 s pass for all daemons
    Then a read that ends is announced to 8 daemons by followers, to none by others

  Scenario: Daemons that do not follow the table learn that the store was restored
    Given 27 daemons in 3 zones that follow published tables
    When all daemons read version 6 of 4 bytes from the store
    And 10 s pass for all daemons
    And one follower reads that the store is in era 2
    And 10 s pass for all daemons
    Then all daemons know era 2

  Scenario: The log tells that a version was announced before its document came
    When daemon 0 reads version 6 from the store
    And daemon 0 receives version 7 from daemon 1
    And 1 s pass for all daemons
    And daemon 0 reads version 7 from the store
    Then the log of daemon 0 has table-announced with version 7
    And the log of daemon 0 has table-in-force with heard_ms_before 1000

  Scenario: An unreadable document changes nothing
    When daemon 0 reads version 7 from the store
    And daemon 0 reads an unreadable version 9 from the store
    Then daemon 0 has version 7 in force

  Scenario: The services of a small table are requested before the first request
    When daemon 0 reads version 7 from the store
    Then daemon 0 requests the targets of service "contracts"
