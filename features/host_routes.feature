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
