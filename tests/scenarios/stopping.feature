Feature: leaving backend servers and planned stops

  Background:
    Given an engine "e1" with versions "rapport:1"
    And an engine "e2" with versions "rapport:1"
    And a profile "reports" with versions "rapport:1"
    And routers "r1 in mtl-a, r2 in sherbrooke-a"

  @leaving
  Scenario: a backend server leaves while the instance list is out of date
    When "e1" is leaving but the list does not show it
    And callers send 10 requests one after another to "r1"
    Then all answers have status 200
    And "r1" sent "e1" at most 1 requests after it started leaving

  @leaving
  Scenario: the list shows a leaving backend server and the store goes down
    When the list shows that "e1" is leaving
    And "r1" has seen that "e1" is leaving
    And the store goes down
    And callers send 6 requests to "r1"
    Then all answers have status 200
    And "r1" sent "e1" at most 0 requests after it started leaving

  @graceful-stop
  Scenario: an instance is stopped with open streams while a peer is killed
    When a caller starts a stream of 200 tokens from "r1"
    And "r2" is killed
    And "r1" receives SIGTERM
    And all callers have received their answers
    Then the answer is whole with 200 tokens in order
    And "r1" ends with exit code 0
    And each of the 1 requests has exactly one bill

  @graceful-stop
  Scenario: requests that arrive before the load balancer notices a stop are served
    When "r1" receives SIGTERM
    And callers send 3 requests to "r1"
    Then all answers have status 200
    And "r1" ends with exit code 0

  @graceful-stop
  Scenario: an instance is stopped while the store is down
    When a caller starts a stream of 100 tokens from "r1"
    And the store goes down
    And "r1" receives SIGTERM
    And all callers have received their answers
    Then the answer is whole with 100 tokens in order
    And "r1" ends with exit code 0
    When the store is available again
    Then each of the 1 requests has exactly one bill
