Feature: a bad version is halted for the whole fleet

  Background:
    Given an engine "e1" with versions "rapport:1"
    And an engine "e2" with versions "rapport:2"
    And a profile "reports" that replaces "rapport:1" by "rapport:2" at steps "0.5, 1.0"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the log says who halted it and why
    Given "e2" fails the next 9999 requests
    When callers send 300 requests at "r1, r2, r3"
    Then every instance has halted "rapport:2"
    And every instance has the same configuration
    When callers send 30 requests at "r1, r2, r3"
    Then all answers have status 200

  Scenario: the store is down while a version turns bad
    Given the store is down
    And "e2" fails the next 9999 requests
    When callers send 300 requests at "r1, r2, r3"
    Then every instance has halted "rapport:2"

  Scenario: a judge is killed while a version turns bad
    Given "e2" fails the next 9999 requests
    When "r2" is killed
    And callers send 300 requests at "r1, r3"
    Then every instance has halted "rapport:2"
