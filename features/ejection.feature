Feature: Targets are taken out for the whole fleet, never below the floor
  Scenario Outline: The floor holds in every view and for the union
    Given 8 fleets under <trouble>
    When they run for 120 s
    Then targets were out now and then
    And the floor was never broken

    Examples:
      | trouble                                  |
      | concurrent ejections                     |
      | one-way partitions                       |
      | paused daemons and late appends          |
      | floor edits                              |
      | departures                               |
      | log outages                              |
      | everything at once                       |

  Scenario Outline: The checker catches a planted fault
    Given 8 fleets under <trouble>
    And controllers that <fault>
    When they run for 120 s
    Then the floor was broken for the <kind>

    Examples:
      | trouble              | fault                                    | kind  |
      | concurrent ejections | accept every claim                       | union |
      | one-way partitions   | forget who may still hold a target out   | union |
      | one-way partitions   | apply what they can no longer confirm    | union |
      | departures           | never bring back targets for the floor   | view  |

  Scenario: An ejection ends when its claimant vanishes
    Given a fleet in which one daemon ejected a target
    When that daemon vanishes for good
    Then the target is in service everywhere within 40 s
    And the fold of a daemon that starts then has nobody out

  Scenario: An ejection by a daemon whose probes fail for ever ends
    Given a fleet in which one daemon ejected a target
    When all probes of that daemon fail from then on
    Then the target is in service everywhere within 60 s

  Scenario: A raised floor brings back the target that is out longest
    Given a fleet in which one daemon ejected two targets in turn
    When the floor is raised so that one of them is needed
    Then only the one that was ejected last stays out

  Scenario: With the log away nothing stays out for the fleet
    Given a fleet in which one daemon ejected a target
    When the log is away for 6 s
    Then the target is in service everywhere

  Scenario: A restarted target is not held to account for its past
    Given a fleet in which one daemon ejected a target
    When the target restarts
    Then the target is in service everywhere

  Scenario: A daemon that starts doesn't believe old records
    Given a stream whose last ejection was never renewed or ended
    When a daemon reads it from the beginning
    Then nobody is out in its view

  Scenario: What is kept of a stream doesn't grow with time
    Given a fleet in which one daemon ejected a target
    When the fleet goes on for 300 s
    Then no daemon remembers more reads than settling needs
