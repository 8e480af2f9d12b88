Feature: leaving backend servers and planned stops

  Background:
    Given an engine "e1" with versions "rapport:1"
    And an engine "e2" with versions "rapport:1"
    And a profile "reports" with versions "rapport:1"
    And routers "r1 in mtl-a, r2 in sherbrooke-a"

  @leaving
  Scenario: a backend server leaves while the instance list is behind
    When "e1" is leaving but the list does not say so
    And callers send 10 requests one after another at "r1"
    Then all answers have status 200
    And "r1" asked "e1" at most 1 times after it was leaving

  @leaving
  Scenario: a backend server leaves on the list and the store goes down
    When the list says that "e1" is leaving
    And "r1" has seen that "e1" is leaving
    And the store goes down
    And callers send 6 requests at "r1"
    Then all answers have status 200
    And "r1" asked "e1" at most 0 times after it was leaving

  @graceful-stop
  Scenario: an instance is stopped with open streams while a peer is killed
    When a caller starts a stream of 200 tokens at "r1"
    And "r2" is killed
    And "r1" is told to stop
    And all callers have their answers
    Then the answer is whole with 200 tokens in order
    And "r1" ends with exit code 0
    And each of the 1 requests has exactly one bill

  @graceful-stop
  Scenario: requests that arrive while the balancer has not noticed are served
    When "r1" is told to stop
    And callers send 3 requests at "r1"
    Then all answers have status 200
    And "r1" ends with exit code 0

  @graceful-stop
  Scenario: an instance is stopped while the store is down
    When a caller starts a stream of 100 tokens at "r1"
    And the store goes down
    And "r1" is told to stop
    And all callers have their answers
    Then the answer is whole with 100 tokens in order
    And "r1" ends with exit code 0
    When the store comes back
    Then each of the 1 requests has exactly one bill
