@at-most-once
Feature: work that may run once only runs at most once

  Background:
    Given a service "booking"
    And a profile "visits" for the service "booking"
    And routers "r1 in mtl-a, r2 in sherbrooke-a, r3 in rimouski-a"

  Scenario: the balancer repeats a booking at a second instance
    Given calls to "booking" take 0.5 s
    When a caller books with key "a" at "r1" and "r2" at once
    Then "booking" made 1
    And all answers are equal

  Scenario: the service's reply is lost
    Given the next reply of "booking" is lost
    When a caller books with key "a" at "r1"
    Then the answer says ran "unknown"
    When a caller books with key "a" at "r2"
    Then the answer says ran "unknown"
    And "booking" made 1

  Scenario: the instance is killed while the booking runs
    Given calls to "booking" take 1.0 s
    When a caller starts to book with key "a" at "r1"
    And "booking" has made 1
    And "r1" is killed
    And a caller books with key "a" at "r2" within 500 ms
    Then the answer says ran "unknown"
    And "booking" made 1

  Scenario: the log takes a claim but its reply is lost
    Given the next 1 replies of the log for "claims" are lost
    When a caller books with key "a" at "r1"
    Then the answer has status 200
    And "booking" made 1

  Scenario: a claim arrives late, after the caller has given up and repeated
    Given the next 2 appends to "claims" arrive 1.5 s late
    When a caller books with key "a" at "r1" within 300 ms
    Then the answer says ran "no"
    When a caller books with key "a" at "r2"
    Then the answer has status 200
    And "booking" made 1

  Scenario: the store is down
    Given the store is down
    When a caller books with key "a" at "r1" within 1500 ms
    Then the answer says ran "no"
    And "booking" made 0
    When the store comes back
    And a caller books with key "a" at "r2" until it is answered
    Then "booking" made 1

  Scenario: the holder is frozen after its claim, and the key comes again
    Given the next 1 replies of the log for "claims" are lost
    When a caller starts to book with key "a" at "r1"
    And "r1" is frozen
    And a caller books with key "a" at "r2" within 600 ms
    And "r1" thaws
    And all callers have their answers
    Then "booking" made at most 1
    And no two answers are of different bookings
