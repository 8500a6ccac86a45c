Feature: Host and path select the route and service of a request

  Background:
    Given host routes
      | name   | host   | prefix   | parts              |
      | root   | a.test | /        | portal             |
      | sign   | a.test | /sign/   | contracts          |
      | audio  | a.test | /sign/x/ | archive            |
      | shared | b.test | /s/      | contracts*9 next*1 |

  Scenario Outline: The longest matching path prefix wins
    Then host "<host>" and path "<path>" select route "<route>"

    Examples:
      | host      | path          | route |
      | a.test    | /             | root  |
      | a.test    | /other/deep   | root  |
      | a.test    | /sign         | root  |
      | a.test    | /sign/        | sign  |
      | a.test    | /sign/1?q=/x/ | sign  |
      | a.test    | /sign/x/2     | audio |
      | A.test:80 | /sign/x/2     | audio |
      | b.test    | /             | none  |
      | c.test    | /sign/        | none  |

  Scenario: A traffic split is exact within any run of consecutive requests
    When 200 requests of route "shared" are distributed over its services
    Then of any 40 consecutive requests "next" receives 3 to 5

  Scenario: A changed weight applies from the next request on
    When 200 requests of route "shared" are distributed over its services
    And the weighted services of route "shared" become "contracts*1 next*1"
    And 40 requests of route "shared" are distributed over its services
    Then of any 40 consecutive requests "next" receives 19 to 21

  Scenario Outline: Many daemons that each get few requests split them by weight together
    When <daemons> daemons each distribute <count> requests of a route "<parts>"
    Then their shares differ from the weights by at most 0.1

    Examples:
      | daemons | count | parts        |
      | 235     | 1     | a*7 b*3      |
      | 235     | 2     | a*9 b*1      |
      | 1800    | 1     | a*90 b*10    |
      | 103     | 3     | a*5 b*3 c*2  |
      | 27      | 11    | a*0.8 b*0.2  |

  Scenario: A service of weight 0 receives nothing
    When 50 daemons each distribute 20 requests of a route "a*1 b*0"
    Then service "b" received nothing
