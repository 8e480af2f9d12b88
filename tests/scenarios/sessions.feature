@session
Feature: a session keeps its version

  Background:
    Given an engine "e1" with versions "rapport:1, rapport:2"
    And a profile "reports" that replaces "rapport:1" by "rapport:2" at steps "0.0001, 1.0"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the roll-out ends and the instance that served the session is killed
    When sessions "s1, s2, s3, s4" send a request to "r1"
    And the roll-out of "rapport:2" moves to step 1
    And "r1" is killed
    And sessions "s1, s2, s3, s4" send a request to "r2"
    And sessions "s1, s2, s3, s4" send a request to "r3"
    Then each session ran on "rapport:1" only
    When sessions "s5, s6" send a request to "r2"
    Then sessions "s5, s6" ran on "rapport:2" only

  Scenario: a session token stays valid while the store is down
    When sessions "s1, s2" send a request to "r1"
    And the roll-out of "rapport:2" moves to step 1
    And the store goes down
    And sessions "s1, s2" send their token to "r3"
    Then each session ran on "rapport:1" only

  Scenario: a session's version is withdrawn and an instance is killed
    When sessions "s1, s2" send a request to "r1"
    And the roll-out of "rapport:2" moves to step 1
    And an operator withdraws "rapport:1" and waits
    And "r1" is killed
    And sessions "s1, s2" send their token to "r2"
    Then the answers report that the session moved from version "1"
    And no new request ran on "rapport:1"
