Feature: a faulty version is halted in the whole fleet

  Background:
    Given an engine "e1" with versions "rapport:1"
    And an engine "e2" with versions "rapport:2"
    And a profile "reports" that replaces "rapport:1" by "rapport:2" at steps "0.5, 1.0"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: every instance halts a faulty version
    Given "e2" fails the next 9999 requests
    When callers send 300 requests to "r1, r2, r3"
    Then every instance has halted "rapport:2"
    And every instance has the same configuration
    When callers send 30 requests to "r1, r2, r3"
    Then all answers have status 200

  Scenario: the store is down while a version becomes faulty
    Given the store is down
    And "e2" fails the next 9999 requests
    When callers send 300 requests to "r1, r2, r3"
    Then every instance has halted "rapport:2"

  Scenario: an instance is killed while a version becomes faulty
    Given "e2" fails the next 9999 requests
    When "r2" is killed
    And callers send 300 requests to "r1, r3"
    Then every instance has halted "rapport:2"

  Scenario: every instance halts a version that is slower but in time
    When "e2" becomes 6 times slower
    And callers send 300 requests to "r1, r2, r3"
    Then every instance has halted "rapport:2"

  Scenario: a version of the same pace is not halted
    When callers send 300 requests to "r1, r2, r3"
    And callers send 300 requests to "r1, r2, r3"
    Then no instance has halted a version
