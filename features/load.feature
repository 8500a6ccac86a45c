Feature: A load shows what callers get, and which of two systems serves more

  Scenario Outline: Arrivals have the rate and shape of the settings
    Given a load of 100 requests a second in slices of 40 s with the shape "<shape>"
    When its arrivals are drawn
    Then between <low> and <high> of them arrive from second <from> to <to>

    Examples:
      | shape  | from | to | low  | high |
      | steady | 0    | 40 | 3800 | 4200 |
      | wave   | 0    | 5  | 500  | 700  |
      | wave   | 5    | 10 | 330  | 480  |
      | burst  | 2    | 4  | 340  | 460  |
      | burst  | 4    | 8  | 340  | 460  |

  Scenario: Both sides get the same arrivals, and take turns in being first
    Given a load of 100 requests a second in slices of 10 s with the shape "steady"
    Then the arrivals of a slice are the same each time they are drawn
    And those of another slice differ
    And the sides are played in the order "0 1" and then "1 0"

  Scenario: A better system is told from a worse one
    Given backend servers "old" with 2 slots and "new" with 8 slots
    When a load of 40 requests a second with work of 100 ms is played at both
    Then "new" answers at least 99 % in aim and "old" at most 70 %
    And the report says "goodput of new less that of old: +" and "clear"

  Scenario: Two alike systems are not told apart
    Given backend servers "old" with 8 slots and "new" with 8 slots
    When a load of 40 requests a second with work of 100 ms is played at both
    Then "new" answers at least 99 % in aim and "old" at most 100 %
    And the report says "goodput of new less that of old" and "within chance"

  Scenario Outline: Callers behave as their class says
    Given backend servers "old" with 2 slots and "new" with 2 slots
    When callers that <behave> play a load of 60 requests a second at both
    Then some requests are counted as "<ended>"

    Examples:
      | behave                  | ended   |
      | lose patience           | gave_up |
      | come back at once       | refused |
      | come back when told     | refused |

  Scenario: A report can be drawn
    Given backend servers "old" with 8 slots and "new" with 8 slots
    When a load of 40 requests a second with work of 100 ms is played at both
    Then a picture of it is a PNG

  Scenario Outline: Wrong settings are named
    Given settings of a load with <key> <value>
    When the program "load" checks them
    Then it ends with code 2 and one line that contains "<text>"

    Examples:
      | key       | value             | text                      |
      | sides     | []                | key sides: is empty       |
      | slices    | 0                 | key slices: 0             |
      | arrivals  | {"shape": "flat"} | key arrivals.shape        |
      | unknown   | 1                 | unknown key unknown       |
