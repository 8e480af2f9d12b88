Feature: allowed and withdrawn versions

  Background:
    Given an engine "e1" with versions "rapport:1, rapport:2"
    And a profile "reports" with versions "rapport:1, rapport:2"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  @withdrawn
  Scenario: the log accepts a withdrawal but its reply is lost
    Given the next 1 replies of the log for "configuration" are lost
    When an operator withdraws "rapport:1" and waits
    Then the command succeeds
    When callers send 6 requests to "r1, r2, r3"
    Then no new request ran on "rapport:1"

  @withdrawn
  Scenario: an instance is cut off from the log and from its peers
    Given all links of "r3" are cut
    When an operator withdraws "rapport:1"
    And 1 lease period has passed
    And callers send 4 requests to "r3"
    Then all answers report ran "no"
    And no new request ran on "rapport:1"

  @withdrawn
  Scenario: an instance is cut off only from the log
    Given the log does not answer "r3"
    When an operator withdraws "rapport:1" and waits
    Then the command succeeds
    When callers send 4 requests to "r3"
    Then all answers have status 200
    And no new request ran on "rapport:1"

  @withdrawn
  Scenario: an instance is frozen during a withdrawal
    When "r3" is frozen
    And an operator withdraws "rapport:1"
    And 1 lease period has passed
    And callers start sending 3 requests to "r3"
    And "r3" thaws
    And all callers have received their answers
    Then no new request ran on "rapport:1"

  @withdrawn
  Scenario: the store is down for all instances
    Given the store is down
    When 1 lease period has passed
    And callers send 6 requests to "r1, r2, r3"
    Then all answers have status 200

  @allowed
  Scenario: a version is removed from a profile while an instance is frozen
    When "r3" is frozen
    And an operator publishes "reports" with versions "rapport:2"
    And 1 lease period has passed
    And callers start sending 3 requests to "r3"
    And "r3" thaws
    And all callers have received their answers
    Then no new request ran on "rapport:1"

  @allowed
  Scenario: an engine is killed and only a version that is not allowed is left
    Given an engine "e2" with versions "rapport:3"
    When "e1" is killed
    And callers send 3 requests to "r1"
    Then no answer has status 200
    And no new request ran on "rapport:3"
