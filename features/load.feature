Feature: The load tool measures what callers receive and compares two systems

  Scenario Outline: Arrivals follow the configured rate and shape
    Given a load of 100 requests a second in slices of 40 s with the shape "<shape>"
    When its arrivals are generated
    Then between <low> and <high> of them arrive from second <from> to <to>

    Examples:
      | shape  | from | to | low  | high |
      | steady | 0    | 40 | 3800 | 4200 |
      | wave   | 0    | 5  | 500  | 700  |
      | wave   | 5    | 10 | 330  | 480  |
      | burst  | 2    | 4  | 340  | 460  |
      | burst  | 4    | 8  | 340  | 460  |

  Scenario: Both sides get the same arrivals and alternate in running first
    Given a load of 100 requests a second in slices of 10 s with the shape "steady"
    Then the arrivals of a slice are the same each time they are generated
    And the arrivals of another slice differ
    And the sides run in the order "0 1" and then "1 0"

  Scenario: A better system is distinguished from a worse one
    Given backend servers "old" with 2 slots and "new" with 8 slots
    When a load of 40 requests a second with work of 100 ms runs against both
    Then "new" answers at least 99 % within the aim and "old" at most 70 %
    And the report says "goodput of new less that of old: +" and "clear"

  Scenario: Two equal systems are not distinguished
    Given backend servers "old" with 8 slots and "new" with 8 slots
    When a load of 40 requests a second with work of 100 ms runs against both
    Then "new" answers at least 99 % within the aim and "old" at most 100 %
    And the report says "goodput of new less that of old" and "within chance"

  Scenario Outline: Callers behave as their class is configured
    Given backend servers "old" with 2 slots and "new" with 2 slots
    When callers that <behave> run a load of 60 requests a second against both
    Then some requests are counted as "<ended>"

    Examples:
      | behave                  | ended   |
      | lose patience           | gave_up |
      | come back at once       | refused |
      | come back when told     | refused |

  Scenario: A report can be drawn as a chart
    Given backend servers "old" with 8 slots and "new" with 8 slots
    When a load of 40 requests a second with work of 100 ms runs against both
    Then its chart is a PNG image

  Scenario Outline: Invalid settings are reported by key
    Given load settings with <key> <value>
    When the program "load" checks these settings
    Then it ends with code 2 and one line that contains "<text>"

    Examples:
      | key       | value             | text                      |
      | sides     | []                | key sides: is empty       |
      | slices    | 0                 | key slices: 0             |
      | arrivals  | {"shape": "flat"} | key arrivals.shape        |
      | unknown   | 1                 | unknown key unknown       |
