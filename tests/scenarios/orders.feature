Feature: orders to engines come from one holder of a lease at a time

  Background:
    Given an engine "e1" with versions "rapport:1, rapport:2"
    And an engine "e2" that ignores fencing with versions "rapport:1, rapport:2"
    And a profile "reports" with versions "rapport:1, rapport:2"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the holder is killed and another carries out a withdrawal
    When some instance holds the lease for orders
    And the holder is killed
    And an operator withdraws "rapport:1" and waits
    Then "e1" and "e2" have "rapport:1" no longer
    And no engine took an order with a lower fencing number than one before

  Scenario: the holder is frozen over a withdrawal and thaws
    When some instance holds the lease for orders
    And the holder is frozen
    And an operator withdraws "rapport:1"
    Then "e1" and "e2" have "rapport:1" no longer
    When the holder thaws
    And an operator withdraws "rapport:2"
    Then "e1" and "e2" have "rapport:2" no longer
    And no engine took an order with a lower fencing number than one before

  Scenario: a version that no engine has is loaded
    When an operator publishes "reports" with versions "rapport:1, rapport:2, rapport:3"
    Then some engine has "rapport:3"
