Feature: Targets are ejected for the whole fleet, never below the floor
  Scenario Outline: The floor holds in every view and for the union
    Given 8 fleets with <trouble>
    When they run for 120 s
    Then some targets were ejected at times
    And the floor was never violated

    Examples:
      | trouble                                  |
      | concurrent ejections                     |
      | one-way partitions                       |
      | paused daemons and late appends          |
      | floor edits                              |
      | departures                               |
      | log outages                              |
      | everything at once                       |

  Scenario Outline: The checker detects a planted fault
    Given 8 fleets with <trouble>
    And controllers that <fault>
    When they run for 120 s
    Then the floor was violated for the <kind>

    Examples:
      | trouble              | fault                                    | kind  |
      | concurrent ejections | accept every claim                       | union |
      | one-way partitions   | forget who may still hold a target out   | union |
      | one-way partitions   | apply what they can no longer confirm    | union |
      | departures           | never bring back targets for the floor   | view  |

  Scenario: An ejection ends when its claimant stops
    Given a fleet in which one daemon ejected a target
    When that daemon stops for good
    Then the target is in service everywhere within 40 s
    And the fold of a daemon that starts then has no ejections

  Scenario: An ejection by a daemon whose probes always fail ends
    Given a fleet in which one daemon ejected a target
    When all probes of that daemon fail from then on
    Then the target is in service everywhere within 60 s

  Scenario: A raised floor returns the target that was ejected first
    Given a fleet in which one daemon ejected two targets in turn
    When the floor is raised so that one of them is needed
    Then only the one that was ejected last stays ejected

  Scenario: While the log is unavailable no target stays ejected for the fleet
    Given a fleet in which one daemon ejected a target
    When the log is unavailable for 6 s
    Then the target is in service everywhere

  Scenario: A restart of a target ends its ejection
    Given a fleet in which one daemon ejected a target
    When the target restarts
    Then the target is in service everywhere

  Scenario: A daemon that starts does not apply old ejections
    Given a stream whose last ejection was never renewed or ended
    When a daemon reads it from the beginning
    Then no target is ejected in its view

  Scenario: The state kept for a stream does not grow with time
    Given a fleet in which one daemon ejected a target
    When the fleet continues for 300 s
    Then no daemon keeps more read positions than settling needs
