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

  Scenario: A daemon that can't read the store gets the table from its peers
    Given daemon 5 receives no pushed table
    When daemon 0 reads version 7 from the store
    And 12 s pass for all daemons
    Then all daemons have version 7 in force

  Scenario: An unreadable document changes nothing
    When daemon 0 reads version 7 from the store
    And daemon 0 reads an unreadable version 9 from the store
    Then daemon 0 has version 7 in force

  Scenario: The services of a small table are requested before the first request
    When daemon 0 reads version 7 from the store
    Then daemon 0 requests the targets of service "contracts"
