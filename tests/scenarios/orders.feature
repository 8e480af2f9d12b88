Feature: only one lease holder at a time sends orders to engines

  Background:
    Given an engine "e1" with versions "rapport:1, rapport:2"
    And an engine "e2" that ignores fencing with versions "rapport:1, rapport:2"
    And a profile "reports" with versions "rapport:1, rapport:2"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the lease holder is killed and another instance carries out a withdrawal
    When an instance holds the orders lease
    And the holder is killed
    And an operator withdraws "rapport:1" and waits
    Then "e1" and "e2" no longer have "rapport:1"
    And no engine accepted an order with a lower fencing number than an earlier one

  Scenario: the lease holder is frozen during a withdrawal and thaws
    When an instance holds the orders lease
    And the holder is frozen
    And an operator withdraws "rapport:1"
    Then "e1" and "e2" no longer have "rapport:1"
    When the holder thaws
    And an operator withdraws "rapport:2"
    Then "e1" and "e2" no longer have "rapport:2"
    And no engine accepted an order with a lower fencing number than an earlier one

  Scenario: a version that no engine has is loaded
    When an operator publishes "reports" with versions "rapport:1, rapport:2, rapport:3"
    Then some engine has loaded "rapport:3"
