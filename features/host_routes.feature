Feature: Requests find their service by host and path

  Background:
    Given host routes
      | name   | host   | prefix   | parts              |
      | root   | a.test | /        | portal             |
      | sign   | a.test | /sign/   | contracts          |
      | audio  | a.test | /sign/x/ | archive            |
      | shared | b.test | /s/      | contracts*9 next*1 |

  Scenario Outline: The longest prefix of the path decides
    Then host "<host>" and path "<path>" lead to route "<route>"

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

  Scenario: A split is exact in any span of requests
    When 200 requests of route "shared" are split
    Then in any 40 of them in a row service "next" takes 3 to 5

  Scenario: A changed weight holds from the next request on
    When 200 requests of route "shared" are split
    And the parts of route "shared" become "contracts*1 next*1"
    And 40 requests of route "shared" are split
    Then in any 40 of them in a row service "next" takes 19 to 21
