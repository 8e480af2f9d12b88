@billing
Feature: each request is billed exactly once

  Background:
    Given an engine "e1" with versions "rapport:1"
    And a profile "reports" with versions "rapport:1"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the log accepts bills but its replies are lost
    Given the next 3 replies of the log for "bills" are lost
    When callers send 6 requests to "r1"
    Then each of the 6 requests has exactly one bill

  Scenario: the owner is killed in the middle of an answer
    When a caller starts a stream of 400 tokens from "r1"
    And "r1" is killed
    Then each of the 1 requests has exactly one bill

  Scenario: the store is down and then the owner is killed
    Given the store is down
    When callers send 4 requests to "r1"
    And "r1" is killed
    And the store is available again
    Then each of the 4 requests has exactly one bill

  Scenario: the owner and one of its replica holders are killed together
    When a caller starts a stream of 400 tokens from "r1"
    And "r1" is killed
    And "r2" is killed
    Then each of the 1 requests has exactly one bill

  Scenario: all instances in the owner's zone are killed
    Given routers "r4 in mtl-a, r5 in mtl-a"
    When a caller starts a stream of 400 tokens from "r1"
    And a caller starts a stream of 400 tokens from "r4"
    And a caller starts a stream of 400 tokens from "r5"
    And "r1" is killed
    And "r4" is killed
    And "r5" is killed
    Then each of the 3 requests has exactly one bill

  Scenario: the replica holders of an owner are replaced one after another
    When a caller starts a stream of 1200 tokens from "r1"
    And "r2" is killed
    And router "r2" starts in "sherbrooke-a"
    And "r3" is killed
    And router "r3" starts in "rimouski-a"
    And "r1" is killed
    Then each of the 1 requests has exactly one bill

  Scenario: a cheap model is tried first and replies of the log are lost
    Given an engine "e2" with versions "petit:1"
    And a profile "reports" with a cascade from "petit:1" to "rapport:1"
    And the next 2 replies of the log for "bills" are lost
    When callers send 60 requests to "r1"
    Then all answers have status 200
    And "r1" has incremented the counter "cascade.escalated"
    And each of the 60 requests has exactly one bill

  Scenario: a load balancer retries a request whose instance was killed
    When a caller starts a stream of 400 tokens from "r1" with id "q1"
    And "r1" is killed
    And a caller retries the stream of 400 tokens from "r2" with id "q1"
    Then each of the 1 requests has exactly one bill
