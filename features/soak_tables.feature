Feature: Each version of the configuration is in force in time beside faults

  Scenario: A fleet whose daemons trust that they hear of every version is detected
    Given daemons that never read the table for want of fresh knowledge
    When a table soak of 15 hosts with the fault "readers-without-store" runs with seed 1000000
    Then it finds a broken guarantee whose description contains "did not have version"

  Scenario Outline: A daemon that reaches the store has each version in force in time
    When a table soak of <hosts> hosts with the fault "<fault>" runs with seed <seed>
    Then no version was in force too late, of at least <judged> judged

    Examples:
      | hosts | fault                 | seed     | judged |
      | 15    | calm                  | 1000000  | 250    |
      | 15    | hosts-cut-off         | 1000000  | 250    |
      | 15    | readers-cut-off       | 1000000  | 250    |
      | 15    | readers-without-store | 1000000  | 150    |
      | 27    | readers-without-power | 1000000  | 400    |
      | 21    | most-without-power    | 12000002 | 300    |
      | 27    | halves                | 5000002  | 400    |
