Feature: A published table is in force everywhere and never goes back

  Background:
    Given 6 daemons that take published tables

  Scenario: A version that one daemon reads reaches all
    When daemon 0 reads version 7 from the store
    And 3 s pass among the daemons
    Then all daemons have version 7 in force

  Scenario: An older version is never put in force
    When daemon 0 reads version 7 from the store
    And daemon 0 reads version 5 from the store
    Then daemon 0 has version 7 in force

  Scenario: A daemon that the store turns away gets the table from the others
    Given daemon 5 hears no push
    When daemon 0 reads version 7 from the store
    And 12 s pass among the daemons
    Then all daemons have version 7 in force

  Scenario: A document that can't be read changes nothing
    When daemon 0 reads version 7 from the store
    And daemon 0 reads an unreadable version 9 from the store
    Then daemon 0 has version 7 in force

  Scenario: Services of a small table are looked for before anyone asks
    When daemon 0 reads version 7 from the store
    Then daemon 0 wants the service "contracts"
