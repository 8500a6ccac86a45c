Feature: A gate learns which routes make calls

  Scenario: Calls are attributed to the route that makes them, also while other routes run
    Given a gate whose backend server makes 1.4 calls for each lookup and none for a signing
    When 400 lookups and signings run, several at once
    Then a lookup is estimated to make 1.2 to 1.6 calls
    And a signing is estimated to make 0 to 0.15 calls
