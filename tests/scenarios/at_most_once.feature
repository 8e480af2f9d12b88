@at-most-once
Feature: work that is not idempotent runs at most once

  Background:
    Given a service "booking"
    And a profile "visits" for the service "booking"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the load balancer retries a booking at a second instance
    Given calls to "booking" take 0.5 s
    When a caller books with key "a" at "r1" and "r2" concurrently
    Then the number of bookings made by "booking" is 1
    And all answers are equal

  Scenario: the service's reply is lost
    Given the next reply of "booking" is lost
    When a caller books with key "a" at "r1"
    Then the answer reports ran "unknown"
    When a caller books with key "a" at "r2"
    Then the answer reports ran "unknown"
    And the number of bookings made by "booking" is 1

  Scenario: the instance is killed while the booking runs
    Given calls to "booking" take 1.0 s
    When a caller starts booking with key "a" at "r1"
    And the number of bookings made by "booking" reaches 1
    And "r1" is killed
    And a caller books with key "a" at "r2" within 500 ms
    Then the answer reports ran "unknown"
    And the number of bookings made by "booking" is 1

  Scenario: the log accepts a claim but its reply is lost
    Given the next 1 replies of the log for "claims" are lost
    When a caller books with key "a" at "r1"
    Then the answer has status 200
    And the number of bookings made by "booking" is 1

  Scenario: a claim arrives late, after the caller has timed out and retried
    Given the next 2 appends to "claims" arrive 1.5 s late
    When a caller books with key "a" at "r1" within 300 ms
    Then the answer reports ran "no"
    When a caller books with key "a" at "r2"
    Then the answer has status 200
    And the number of bookings made by "booking" is 1

  Scenario: the store is down
    Given the store is down
    When a caller books with key "a" at "r1" within 1500 ms
    Then the answer reports ran "no"
    And the number of bookings made by "booking" is 0
    When the store is available again
    And a caller books with key "a" at "r2" until it succeeds
    Then the number of bookings made by "booking" is 1

  Scenario: the holder is frozen after its claim and the key is sent again
    Given the next 1 replies of the log for "claims" are lost
    When a caller starts booking with key "a" at "r1"
    And "r1" is frozen
    And a caller books with key "a" at "r2" within 600 ms
    And "r1" thaws
    And all callers have received their answers
    Then the number of bookings made by "booking" is at most 1
    And all successful answers are of the same booking
