@configuration
Feature: an accepted configuration is in force everywhere and never reverts

  Background:
    Given an engine "e1" with versions "rapport:1, rapport:2"
    And a profile "reports" with versions "rapport:1"

  Scenario: two operators publish concurrently
    Given routers "r1 in mtl-a, r2 in sherbrooke-a"
    When two operators publish "reports" based on the same revision concurrently
    Then one command succeeds and one is refused with "revision-conflict"
    And every instance has the same configuration

  Scenario: an older publication arrives late
    Given routers "r1 in mtl-a, r2 in sherbrooke-a"
    And the next 1 appends to "configuration" arrive 2.0 s late
    When an operator sends a publication of "reports" with versions "rapport:1" that is delayed
    And an operator publishes "reports" with versions "rapport:2"
    And the delayed append has arrived
    And callers send 3 requests to "r1, r2"
    Then no new request ran on "rapport:1"
    And every instance has the same configuration

  Scenario: an instance starts while the store is down
    Given routers "r1 in mtl-a, r2 in sherbrooke-a"
    And the store is down
    When router "r3" starts in "rimouski-a"
    And callers send 2 requests to "r3"
    Then all answers have status 200
    And every instance has the same configuration

  Scenario: the log has dropped its oldest records
    Given routers "r1 in mtl-a"
    When an operator writes a snapshot
    And the log keeps only 1 records
    And router "r2" starts in "sherbrooke-a"
    And callers send 2 requests to "r2"
    Then all answers have status 200
    And every instance has the same configuration

  Scenario: an instance writes a snapshot before the log drops its oldest records
    Given routers "r1 in mtl-a"
    When an instance has written a snapshot
    And the log keeps only 1 records
    And router "r2" starts in "sherbrooke-a"
    And callers send 2 requests to "r2"
    Then all answers have status 200
    And every instance has the same configuration

  Scenario: a publication whose reply is lost takes effect once
    Given routers "r1 in mtl-a, r2 in sherbrooke-a"
    And the next 2 replies of the log for "configuration" are lost
    When an operator publishes "reports" with versions "rapport:2" and waits
    Then the command succeeds
    And every instance has the same configuration
